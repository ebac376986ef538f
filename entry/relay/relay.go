// Package relay serves the requests of callers: it looks up their route and account,
// forwards them to a replica, and streams the response to the caller.
package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/core/crashbreaker"
	"crocusfold.dev/core/eventstream"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/retry"
	"crocusfold.dev/core/retrypolicy"
	"crocusfold.dev/core/route"
	"crocusfold.dev/core/shutdown"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/callerconns"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/replicalimits"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/entry/rollouts"
	"crocusfold.dev/entry/streams"
	"crocusfold.dev/entry/topics"
)

// Limits of a request.
const (
	// revocationMargin is subtracted from the time for which a revoked key may still
	// be served, to allow for the transit of the request and for clock errors.
	revocationMargin = 400 * time.Millisecond
	// defaultTimeout applies to a request if the caller states no timeout. The route
	// may set a shorter one.
	defaultTimeout = 30 * time.Second
)

// Relay is the HTTP handler for callers. The exported fields must be set before it is
// used.
type Relay struct {
	Bounds   *edgeconfig.LiveBounds
	Dialect  adapter.Dialect
	Topics   *topics.Topics
	Replicas *replicas.Replicas
	// Control asks replicas that leave when they started.
	Control adapter.Control
	Budgets *retry.Budgets
	Limits  *replicalimits.ReplicaLimits
	Streams *streams.Streams
	// Rollouts decides which software versions a request may use; nil allows all.
	Rollouts *rollouts.Rollouts
	Now      func() time.Time
	Logger   log.Logger
	Metrics  *Metrics
	Crashes  *Crashes
	// NotifyPeers starts exchanges with peers, so that a change spreads quickly.
	NotifyPeers func()
	// Queue is true if requests that compete for replicas wait in an ordered queue. Otherwise
	// each waits on its own.
	Queue bool
	// WatchStalls is true if replicas that seem to have stalled are avoided, where requests
	// compete for replicas.
	WatchStalls bool

	waitingOnce sync.Once
	waiting     *Waiting
	stallsOnce  sync.Once
	stalls      Stalls
	// shutdown is nil unless the instance is stopping.
	shutdown atomic.Pointer[shutdown.Shutdown]
	inFlight atomic.Int64

	mu        sync.Mutex
	durations shutdown.Durations
	// running has the cancel functions of the requests that run. ended is true once
	// EndRequests was called.
	running map[*call]context.CancelFunc
	ended   bool
}

// start registers a request that runs, so that EndRequests ends it. The returned function
// removes it.
func (rl *Relay) start(c *call, cancel context.CancelFunc) (remove func()) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.running == nil {
		rl.running = map[*call]context.CancelFunc{}
	}
	rl.running[c] = cancel
	if rl.ended {
		cancel()
	}
	return func() {
		rl.mu.Lock()
		defer rl.mu.Unlock()
		delete(rl.running, c)
		if c.route != nil && c.summary.outcome == "ok" {
			rl.durations.Observe(rl.Now(), c.route.Name, rl.Now().Sub(c.began))
		}
	}
}

// InFlight returns the number of requests that are being served.
func (rl *Relay) InFlight() int { return int(rl.inFlight.Load()) }

// call is one request of a caller.
type call struct {
	relay   *Relay
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	began   time.Time
	intent  *adapter.Intent
	route   *route.Route
	account route.Account
	info    adapter.RequestInfo
	body    callerconns.Body
	// bodyUnread is true until reading the request's body begins.
	bodyUnread bool
	// fp and partFPs are the zero values until they are needed.
	fp      quarantine.Fingerprint
	partFPs []quarantine.Fingerprint
	service route.Service
	// software is the software version that must serve the request; empty if any may.
	software string
	// choice has the software versions that the present attempt may run on. counted is true
	// once the request was counted as one of its service.
	choice  rollouts.Choice
	counted bool
	// connOpened is when the connection to the replica of the last attempt was first used.
	connOpened time.Time
	// returned is true if the caller seems to come back after a refusal, and arrived true once
	// that was looked up.
	returned, arrived bool
	// contended is true if requests of the service compete for replicas, and queued if the
	// request waits in the queue when no replica has room.
	contended, queued bool
	// responded is true once the response of the current attempt has begun.
	responded bool
	// sent is the request in flight at the replica of the current attempt; nil if its service is
	// not watched for stalls.
	sent *sentRequest
	// hadError is true if the last attempt had an error of the replica as response.
	hadError bool
	// budget bounds the retries of the service's requests.
	budget *retry.Budget
	// deadline is when the timeout of the caller or of the route expires.
	deadline          time.Time
	attemptedReplicas map[string]bool
	// ungranted is how often the request was placed again since it was not granted within
	// the limit of its replica.
	ungranted int
	policy    retrypolicy.Policy
	// retryWithdrawn is true if the next attempt was withdrawn from the retry budget
	// already.
	retryWithdrawn bool
	// answered is true once the current attempt has shown that no part of the prompt
	// crashes its replica.
	answered bool
	// abort closes the caller's connection, since the response can't be completed.
	abort bool
	// endsByClose is true if the response to the caller ends with the connection.
	endsByClose bool
	// events follows the stream that is passed on.
	events  eventstream.Scanner
	times   eventTimes
	summary summary
}

// summary has what the log line and the metrics of a request are made of.
type summary struct {
	replica, context, outcome string
	// software is the version of the replica's software, and origin how the one that began
	// a resumed stream was found out.
	software                  string
	origin                    streams.Source
	version, attempts, status int
	// parts is the number of shared parts of the prompt, fetched and saved the
	// numbers of those that are fetched from and saved to a store.
	parts, fetched, saved int
	// prefillTokens is the number of prompt tokens that the replica has to prefill.
	prefillTokens int
	estimate      pool.Estimate
	// framing is how the replica framed its response, and bytes the number of bytes of its
	// body. events is the number of complete events of a stream, and inEvent is true if it
	// ended inside another one.
	framing framing
	bytes   int64
	events  int
	inEvent bool
	// proofAge is the age of the proof that the configuration is current.
	// firstByteTime and placementTime are measured from the start of the request.
	proofAge, firstByteTime time.Duration
	placementTime           time.Duration
	// firstEventTime and lastEventTime are the times of the first and the last event of a
	// stream from the start of the request, if its service's replicas are chosen by them.
	firstEventTime, lastEventTime time.Duration
	// expectedEvents is the number of events that the replica was chosen for.
	expectedEvents int
	// blockedPart is the part of the prompt for which the request was refused.
	blockedPart string
	// timeLeft is the deadline that the last replica was handed.
	timeLeft time.Duration
	// giveUpReason is why the request was not retried.
	giveUpReason retrypolicy.Reason
}

// ServeHTTP serves one request. If the response can't be completed, it resets the caller's
// connection, or panics with http.ErrAbortHandler to close it.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rl.inFlight.Add(1)
	defer rl.inFlight.Add(-1)
	c := &call{relay: rl, w: w, r: r, began: rl.Now(), attemptedReplicas: map[string]bool{}, bodyUnread: r.ContentLength != 0}
	defer c.logPanic()
	// net/http does not say whether a chunked request also had a Content-Length. Such
	// a request can smuggle a second one, so nothing is read after it.
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	c.closeIfStopping()
	ref := c.admit()
	if ref == nil {
		deadline := newCallerDeadline(r.Context(), c.deadline.Sub(rl.Now()))
		defer deadline.stop()
		defer rl.start(c, deadline.cancel)()
		c.ctx = deadline
		if ref = c.reserve(); ref == nil {
			ref = c.findOrigin()
		}
		if ref == nil {
			ref = c.forward()
		}
	}
	if ref != nil {
		c.refuse(ref)
	}
	c.log()
	rl.Metrics.countRequest(c)
	if c.abort && !(c.endsByClose && c.resetCaller()) {
		panic(http.ErrAbortHandler)
	}
}

// logPanic logs a panic of the handler, which net/http recovers from. The caller's connection
// is closed then.
func (c *call) logPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		_ = c.relay.Logger.Log("id", c.info.ID, "msg", "Serving a request panicked.", "replica", c.summary.replica, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	}
	panic(v)
}

// admit looks up the request's route and account, reads its body and sets its deadline.
// It returns a refusal if the request may not run.
func (c *call) admit() *refusal {
	rl := c.relay
	proven := rl.Topics.Proven()
	c.intent = proven.Intent
	c.info = rl.Dialect.ParseRequest(c.r.Header)
	if c.intent == nil {
		return notRun("no-configuration", time.Second)
	}
	table := c.intent.Table
	var ok bool
	if c.route, ok = table.Match(c.r.Host, c.r.URL.Path); !ok {
		if !proven.Complete {
			return notRun("configuration-not-proven", time.Second)
		}
		return &refusal{status: http.StatusNotFound, code: "route-unknown"}
	}
	if ref := c.identify(proven); ref != nil {
		return ref
	}
	if ref := c.readBody(table); ref != nil {
		return ref
	}
	if !rl.Crashes.empty() {
		if v := rl.Crashes.check(c.began, c.fingerprints()); !v.Allowed {
			return c.refuseCrashing(v)
		}
	}
	// A resumed stream stays with the service of the request that began it.
	began := c.info.ID
	if c.resumes() && c.info.Resumes != "" {
		began = c.info.Resumes
	}
	c.service = table.Services[c.route.Pick(xxhash.Sum64String(began))]
	c.deadline = c.began.Add(defaultTimeout)
	if c.info.Timeout > 0 {
		c.deadline = c.began.Add(c.info.Timeout)
	}
	if limit := c.began.Add(c.route.Timeout); c.route.Timeout > 0 && limit.Before(c.deadline) {
		c.deadline = limit
	}
	if ref := c.checkShutdown(rl.Now()); ref != nil {
		return ref
	}
	c.budget = rl.Budgets.Service(c.service.Name)
	c.budget.Deposit()
	return nil
}

// identify looks up the account of the API key. The key may have been revoked since
// the configuration was last proven current, so requests are refused if the proof is
// older than the time for which revoked keys may be served, less revocationMargin.
func (c *call) identify(proven *topics.Proven) *refusal {
	table := proven.Intent.Table
	age, ok := proven.Age(c.began)
	c.summary.proofAge = age
	if !table.HasAccounts {
		return nil
	}
	a, known := table.Account(c.info.Key)
	if c.route.Public {
		return nil
	}
	if !ok || age > c.relay.Bounds.Bounds().Revoke-revocationMargin {
		return notRun("configuration-not-proven", time.Second)
	}
	if !known {
		return &refusal{status: http.StatusUnauthorized, code: "key-unknown"}
	}
	c.account = a
	return nil
}

// Codes of refusals of requests that crashed replicas, or of which a part of the prompt
// did.
const (
	codeCrashesReplicas     = "crashes-replicas"
	codePartCrashesReplicas = "prompt-part-crashes-replicas"
)

// refuseCrashing returns the refusal of a request that the crash breaker does not allow.
func (c *call) refuseCrashing(v crashbreaker.Verdict) *refusal {
	if v.Part {
		c.summary.blockedPart = c.partID(v.Fingerprint)
		return notRun(codePartCrashesReplicas, v.After)
	}
	return notRun(codeCrashesReplicas, v.After)
}

// refusal is the final response to a request that is given up.
type refusal struct {
	status int
	// code is the error in the response's body and the outcome in the log and the
	// metrics.
	code string
	// retryAfter is the delay in the Retry-After header; 0 omits the header, since a
	// retry would not help.
	retryAfter time.Duration
	// exact is true if retryAfter is spread already.
	exact bool
	// abort closes the connection without a response.
	abort bool
}

// notRun returns a refusal of a request that was not run and will not be.
func notRun(code string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: code, retryAfter: retryAfter}
}

// retryAfterJitter is the largest share that is randomly added to the Retry-After
// delay, so that callers that were refused together don't retry together.
const retryAfterJitter = 0.5

// refuse sends the final response to a request that is given up. All refusals pass here, so that
// none promises that a request has not run which may have.
func (c *call) refuse(ref *refusal) {
	if c.policy.RunState() != attempt.NotRun && attempt.PromisesNotRun(ref.status) {
		ref = c.responseLost()
	}
	c.summary.outcome, c.summary.status = ref.code, ref.status
	if ref.abort {
		c.abort = true
		return
	}
	c.closeIfStopping()
	if c.bodyUnread {
		// net/http reads the rest of the body before it writes the response, however long that takes.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(refusedBodyTime))
	}
	h := c.w.Header()
	if ref.retryAfter > 0 {
		after := ref.retryAfter.Seconds()
		if !ref.exact {
			after *= 1 + retryAfterJitter*rand.Float64()
		}
		h.Set("Retry-After", strconv.FormatFloat(after, 'f', 2, 64))
	}
	h.Set("Content-Type", "application/json")
	body := `{"error":"` + ref.code + `"}` + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(ref.status)
	_, _ = io.WriteString(c.w, body)
}
