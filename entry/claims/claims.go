// Package claims obtains claims, the exclusive right to run an order. A request for a
// claim goes to the instance that owns the claim stream of the order's key, which may
// be this one. The order of the records in the stream decides which claim is granted.
package claims

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/order"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/configsync"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/logstream"
)

// Timeouts and bounds of requests to the owner of a claim stream.
const (
	// maxClaimAttempts bounds the requests for one claim. The owner may change
	// between them.
	maxClaimAttempts = 3
	retryPause       = 150 * time.Millisecond
	// reportTimeout is how long the report on a claim is retried until it is
	// recorded.
	reportTimeout    = 30 * time.Second
	reportRetryPause = 500 * time.Millisecond
)

// Claims routes requests for claims, and the reports on them, to the owners of the
// claim streams. The exported fields must be set before Attach. It is safe for
// concurrent use.
type Claims struct {
	// LogAddress is the address of the platform's log service.
	LogAddress netip.AddrPort
	Client     *http.Client
	// Streams is the number of claim streams. It must be the same on all instances.
	Streams  int
	Follower *configsync.Follower
	Endpoint *peerrpc.Endpoint
	Logger   log.Logger

	ctx context.Context
	mu  sync.Mutex
	// runners has the runner of each claim stream that was used here.
	runners map[int]*runner
	// reports counts the reports that are neither recorded nor given up.
	reports sync.WaitGroup
}

// Attach registers the handler for requests of peers. The runners and the reports in
// the background end with ctx.
func (c *Claims) Attach(ctx context.Context) {
	c.ctx = ctx
	c.runners = map[int]*runner{}
	c.Endpoint.Handle(c.handle)
}

// Claim requests the right to run an order from the owner of its claim stream. The
// caller must not run the order unless the verdict is order.Granted. The verdict is
// order.LogUnavailable if the log is down or the stream has no owner, and
// order.Undecided if no owner has responded before the attempts are used up or ctx ends.
func (c *Claims) Claim(ctx context.Context, req message.ClaimRequest) message.ClaimResponse {
	unavailable := message.ClaimResponse{Verdict: order.LogUnavailable}
	if c.Follower.Freshness(time.Now()) == freshness.LogDown {
		return unavailable
	}
	for range maxClaimAttempts {
		if deadline, ok := ctx.Deadline(); ok {
			req.Wait = min(req.Wait, time.Until(deadline))
		}
		owner, ok := c.owner(req.Key)
		if !ok {
			return unavailable
		}
		resp, err := peerrpc.Call[message.ClaimResponse](ctx, c.Endpoint, owner, req)
		if err == nil {
			return resp
		}
		if ctx.Err() != nil {
			break
		}
		c.Follower.MarkUnreachable(time.Now(), owner.Name)
		pause(ctx, retryPause)
	}
	return message.ClaimResponse{Verdict: order.Undecided}
}

// Report reports in the background how the run under a claim ended. It retries until
// the report is recorded or reportTimeout is over.
func (c *Claims) Report(report message.ClaimReport) {
	c.reports.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if c.sendReport(ctx, report) {
				return
			}
			pause(ctx, reportRetryPause)
		}
		_ = c.Logger.Log("msg", "A claim report was not recorded in time.", "claim", report.Claim)
	})
}

// Drain waits until all reports are recorded or have timed out.
func (c *Claims) Drain() { c.reports.Wait() }

// sendReport sends a report once and returns whether it was recorded.
func (c *Claims) sendReport(ctx context.Context, report message.ClaimReport) bool {
	owner, ok := c.owner(report.Key)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	resp, err := peerrpc.Call[message.ClaimResponse](ctx, c.Endpoint, owner, report)
	return err == nil && resp.Verdict == order.Recorded
}

// owner returns the member that owns the claim stream of a key, or false if no member
// is live.
func (c *Claims) owner(key order.Key) (roster.Member, bool) {
	name := fmt.Sprintf("claims/%d", key.Shard(c.Streams))
	return roster.Owner(name, c.Follower.Live(time.Now()))
}

// handle responds to requests for claims and to reports. It does not check that this
// instance owns the stream: the order of the records in the log decides which claim
// is granted, whichever instance appended them.
func (c *Claims) handle(ctx context.Context, _ string, msg message.Message) (message.Message, bool, error) {
	switch m := msg.(type) {
	case message.ClaimRequest:
		ctx, cancel := context.WithTimeout(ctx, m.Wait)
		defer cancel()
		// The registry replies a little before the requester stops waiting.
		deadline := time.Now().Add(m.Wait - 4*tickInterval)
		ev := order.Requested{Key: m.Key, Claim: m.Claim, KeyTime: m.KeyTime, Deadline: deadline}
		rep := c.runner(m.Key).request(ctx, ev, m.Claim)
		return message.ClaimResponse{Verdict: rep.Verdict, Response: rep.Response}, true, nil
	case message.ClaimReport:
		ev := order.Finished{Key: m.Key, Claim: m.Claim, NotRun: m.NotRun, Response: m.Response}
		rep := c.runner(m.Key).request(ctx, ev, m.Claim)
		return message.ClaimResponse{Verdict: rep.Verdict}, true, nil
	default:
		return nil, false, nil
	}
}

// runner returns the runner of a key's claim stream and starts it on first use.
func (c *Claims) runner(key order.Key) *runner {
	shard := key.Shard(c.Streams)
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.runners[shard]
	if !ok {
		stream := &logstream.Stream{Address: c.LogAddress, Name: fmt.Sprintf("claims-%d", shard), Client: c.Client}
		r = newRunner(stream, c.Logger)
		c.runners[shard] = r
		go r.run(c.ctx)
	}
	return r
}
