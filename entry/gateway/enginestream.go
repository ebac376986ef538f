package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/core/block"
	"crocusfold.dev/core/placement"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/retrypolicy"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/entry/configview"
	"crocusfold.dev/entry/engineclient"
	"crocusfold.dev/entry/explain"
	"crocusfold.dev/entry/message"
)

// Limits of a request's attempts.
const (
	// maxAttempts is the number of upstreams that may receive a request.
	maxAttempts = 4
	// maxQueueWait is how long after its start a request may wait for capacity, unless
	// an upstream may have run it already.
	maxQueueWait      = 500 * time.Millisecond
	queuePollInterval = 20 * time.Millisecond
	// maxQueued is the number of requests that may wait for capacity at this instance.
	maxQueued = 512
	// An engine must send the first event within firstEventTimeout plus
	// firstEventFactor times the estimated time to the first token.
	firstEventTimeout = 3 * time.Second
	firstEventFactor  = 3
)

// engineStream is the stream of one attempt at an engine.
type engineStream struct {
	gateway  *Gateway
	run      *chatRun
	upstream upstream.Upstream
	choice   placement.Choice
	events   *engineclient.Stream
	// release returns the permit for the upstream.
	release func()
	// isolated is true if the request is suspected of crashing upstreams. A crash
	// during an isolated attempt bans it.
	isolated bool
	// incarnation is the digest of the upstream's incarnation at the start of the
	// attempt; 0 if not known.
	incarnation uint64
}

// openStream sends the request to upstreams, best first, until one starts a stream. If
// quarantine forbids the request or no upstream is left, the error is a *callError.
func (g *Gateway) openStream(ctx context.Context, run *chatRun, resumeFrom int) (*engineStream, error) {
	for {
		if err := g.checkQuarantine(ctx, run); err != nil {
			// A request that may have run already waits while one with the same
			// fingerprint runs in isolation. A new one is refused.
			if err.code == codeSuspectBusy && run.retryPolicy.Runs() > 0 && g.waitForCapacity(ctx, run.call, true) {
				continue
			}
			err.runState = run.retryPolicy.RunState()
			return nil, err
		}
		stream, err := g.attemptNext(ctx, run, resumeFrom)
		switch {
		case err == nil:
			return stream, nil
		case errors.Is(err, errNoCapacity) && g.waitForCapacity(ctx, run.call, run.retryPolicy.Runs() > 0):
			continue
		case errors.Is(err, errNoCapacity) || errors.Is(err, errAllAttempted):
			return nil, run.noUpstreamError()
		}
		if errors.Is(err, engineclient.ErrUnreachable) {
			// It may be attempted again later: while it is marked as down, rank skips
			// it.
			delete(run.attempted, run.lastAttempted)
		}
		if callErr := g.handleFailure(ctx, run, err); callErr != nil {
			return nil, callErr
		}
	}
}

// handleFailure records a failed attempt. It returns the error for the caller, or nil
// if the request may be sent to another upstream. Since another engine resumes the
// stream at the next token, the number of runs has no limit of its own besides
// maxAttempts.
func (g *Gateway) handleFailure(ctx context.Context, run *chatRun, err error) *callError {
	f := retrypolicy.Failure{RunState: attempt.Unknown, Reached: true, Expired: ctx.Err() != nil}
	switch {
	case errors.Is(err, engineclient.ErrUnreachable):
		f.RunState, f.Reached = attempt.NotRun, false
	case provesNotRun(err):
		f.RunState = attempt.NotRun
	}
	giveUp, ok := run.retryPolicy.RecordFailure(f, retrypolicy.Limits{Attempts: maxAttempts, Runs: maxAttempts}, g.retryBudget.Withdraw).(retrypolicy.GiveUp)
	switch {
	case !ok:
		g.metrics.retries.Inc(1)
		return nil
	case giveUp.Reason == retrypolicy.OverBudget:
		return newCallError(run.call.id, http.StatusServiceUnavailable, "retry-budget", "too many requests are being retried").withRunState(giveUp.RunState).withRetryAfter(longRetryAfter)
	}
	return run.noUpstreamError()
}

// noUpstreamError returns the error for a request that no upstream is left for.
func (r *chatRun) noUpstreamError() *callError {
	return newCallError(r.call.id, http.StatusServiceUnavailable, codeNoUpstream,
		"no upstream for this work may take more now").withRunState(r.retryPolicy.RunState()).withRetryAfter(shortRetryAfter)
}

// provesNotRun reports whether the error of an attempt proves that the upstream did not
// run the request.
func provesNotRun(err error) bool {
	return errors.Is(err, engineclient.ErrRefused) || errors.Is(err, engineclient.ErrStopped)
}

// Errors of attemptNext if it made no attempt.
var (
	errNoCapacity   = errors.New("no upstream has capacity")
	errAllAttempted = errors.New("all upstreams were attempted")
)

// waitForCapacity waits for queuePollInterval and reports whether the request may be
// attempted again. It returns false when ctx ends, and at once if maxQueued requests
// are waiting. A request that was interrupted, that is, may have run already, may wait
// until its deadline; for others it returns false once maxQueueWait has passed.
func (g *Gateway) waitForCapacity(ctx context.Context, c call, interrupted bool) bool {
	if !interrupted && time.Since(c.start) > maxQueueWait {
		return false
	}
	defer g.queued.Add(-1)
	if g.queued.Add(1) > maxQueued {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(queuePollInterval):
		return true
	}
}

// checkQuarantine returns an error for a request that is banned since it crashed
// upstreams. For a suspected one, it acquires the lock on the fingerprint, so that only
// one such request runs at a time, over all instances. It returns an error if another
// request holds the lock.
func (g *Gateway) checkQuarantine(ctx context.Context, run *chatRun) *callError {
	switch g.Isolation.Status(time.Now(), run.fingerprint) {
	case quarantine.Banned:
		return newCallError(run.call.id, http.StatusUnprocessableEntity, "crashes-upstreams",
			"this request crashed the upstreams that ran it and is not run again")
	case quarantine.Suspected:
		if run.unlock != nil {
			return nil
		}
		unlock, ok := g.Isolation.Lock(ctx, run.fingerprint, run.call.id)
		if !ok {
			return newCallError(run.call.id, http.StatusServiceUnavailable, codeSuspectBusy,
				"an equal request that may crash upstreams is being tried").withRetryAfter(longRetryAfter)
		}
		run.unlock = unlock
	}
	return nil
}

// attemptNext makes one attempt, at the best-ranked upstream that has capacity.
// Its errors are errAllAttempted, errNoCapacity, and that of the attempt.
func (g *Gateway) attemptNext(ctx context.Context, run *chatRun, resumeFrom int) (*engineStream, error) {
	// Each attempt uses the current view, since an upstream may have been drained
	// meanwhile. The weight version remains the same.
	run.view = g.Follower.View()
	isolated := g.Isolation.Status(time.Now(), run.fingerprint) == quarantine.Suspected
	choices, unattempted := g.rank(ctx, run)
	if unattempted == 0 {
		return nil, errAllAttempted
	}
	rec := explain.Attempt{Choices: choices}
	defer func() { run.recordAttempt(rec) }()
	for _, ch := range choices {
		u, _ := run.view.Upstream(ch.Upstream)
		release, err := g.Admission.Acquire(ctx, u, run.call.id, isolated)
		if err != nil {
			rec.Result += u.Name + ": " + err.Error() + "; "
			continue
		}
		rec.Chosen = u.Name
		stream := &engineStream{gateway: g, run: run, upstream: u, choice: ch, release: release, isolated: isolated}
		if err := stream.open(ctx, resumeFrom); err != nil {
			rec.Result += err.Error()
			return nil, err
		}
		rec.Result += "streaming"
		return stream, nil
	}
	return nil, errNoCapacity
}

// recordAttempt adds an attempt to the explanation. It replaces the previous one if
// that found no upstream with capacity, so that a request that waits adds a single
// entry.
func (r *chatRun) recordAttempt(a explain.Attempt) {
	if n := len(r.explanation.Attempts); n > 0 && r.explanation.Attempts[n-1].Chosen == "" {
		r.explanation.Attempts[n-1] = a
		return
	}
	r.explanation.Attempts = append(r.explanation.Attempts, a)
}

// rank returns the upstreams that may run the request, best first, and the number of
// those not yet attempted. Upstreams that are down or have loaded another weight
// version are not ranked but counted.
func (g *Gateway) rank(ctx context.Context, run *chatRun) (choices []placement.Choice, unattempted int) {
	now := time.Now()
	var candidates []placement.Candidate
	for _, u := range g.Follower.Upstreams(run.view, run.workload) {
		st := g.Admission.Status(now, u.Name)
		if run.attempted[u.Name] {
			continue
		}
		unattempted++
		if st.Down || (st.Version != 0 && st.Version != message.Digest(run.version)) {
			continue
		}
		_, limit := u.Limits()
		candidates = append(candidates, placement.Candidate{
			Name: u.Name, Running: st.Running, Limit: limit, Backlog: st.Backlog, Distance: g.Settings.DistanceTo(u.DataCentre),
		})
	}
	req := placement.Request{Session: run.session, Blocks: len(run.keys), StoredBlocks: len(run.stored.Blocks), LinkWait: run.stored.LinkWait}
	if len(run.keys) > 0 {
		g.fillCachedBlocks(ctx, run.view, req.Session, run.keys, candidates)
	}
	return g.placement.Rank(req, candidates, nil), unattempted
}

// maxCacheQueries is the number of a session's affinity replicas whose cached blocks
// are queried.
const maxCacheQueries = 3

// fillCachedBlocks sets CachedBlocks of the session's affinity replicas. It queries the
// admission controllers of these upstreams concurrently.
func (g *Gateway) fillCachedBlocks(ctx context.Context, v *configview.View, session string, keys []block.Key, candidates []placement.Candidate) {
	replicas := placement.AffinityReplicas(session, candidates, maxCacheQueries, nil)
	done := make(chan int, len(replicas))
	for _, i := range replicas {
		go func() {
			u, _ := v.Upstream(candidates[i].Name)
			candidates[i].CachedBlocks = g.Admission.CachedBlocks(ctx, u, keys)
			done <- i
		}()
	}
	for range replicas {
		<-done
	}
}

// open sends the request. The configuration is checked for the last time right before
// the first write to the connection.
func (s *engineStream) open(ctx context.Context, resumeFrom int) error {
	run := s.run
	run.attempted[s.upstream.Name] = true
	run.lastAttempted = s.upstream.Name
	run.attempts++
	body, err := run.engineBody(s.choice.Source == placement.Import)
	if err != nil {
		s.release()
		return err
	}
	att := &attempt.Attempt{Deadline: run.deadline, Guard: s.gateway.guard(s.upstream)}
	if err := s.verifyAlive(ctx); err != nil {
		s.finish(ctx, err)
		return err
	}
	stream, err := s.gateway.Engines.Open(ctx, att, s.upstream, engineclient.Request{
		ID: run.call.id, Attempt: run.attempts, Account: run.account.Name, Version: run.version,
		Priority: run.call.priority, ResumeFrom: resumeFrom, Body: body,
		FirstEventTimeout: firstEventTimeout + firstEventFactor*s.choice.Estimate,
	})
	if err != nil {
		s.finish(ctx, err)
		return err
	}
	if stream.Incarnation != "" {
		s.incarnation = message.Digest(stream.Incarnation)
		s.gateway.Admission.ObserveIncarnation(time.Now(), s.upstream, stream.Incarnation)
	}
	s.events = stream
	return nil
}

// verifyAlive records the upstream's incarnation. If the request runs in isolation, it
// probes the upstream first, since a suspected request must not be banned for a crash
// that happened before it ran.
func (s *engineStream) verifyAlive(ctx context.Context) error {
	s.incarnation = s.gateway.Admission.Status(time.Now(), s.upstream.Name).Incarnation
	if !s.isolated {
		return nil
	}
	now, err := s.gateway.Admission.Probe(ctx, s.upstream)
	if err != nil {
		return fmt.Errorf("%w: %w", engineclient.ErrUnreachable, err)
	}
	s.incarnation = now
	return nil
}

// guard returns the last check before a request is written to an upstream.
func (g *Gateway) guard(u upstream.Upstream) func(time.Time) error {
	return func(now time.Time) error {
		if !g.Follower.AllowsNewWork(now) {
			return errors.New("the configuration is no longer known to be current")
		}
		if !g.Follower.AcceptsWork(u.Name) {
			return errors.New("the upstream is drained or leaving")
		}
		return nil
	}
}

// finish closes the stream after a complete response (err is nil) or a failure, and
// records the result. A failure after the end of ctx is not recorded.
func (s *engineStream) finish(ctx context.Context, err error) {
	if s.events != nil {
		s.events.Close()
	}
	s.release()
	switch {
	case err == nil:
		s.recordSuccess(ctx)
	case ctx.Err() != nil:
		return
	case errors.Is(err, engineclient.ErrUnreachable) || errors.Is(err, engineclient.ErrStalled):
		s.gateway.Admission.MarkDown(time.Now(), s.upstream)
	case errors.Is(err, engineclient.ErrBroken):
		s.recordBreak(ctx)
	}
}

// recordSuccess clears a request that ran in isolation, counts the prompt's blocks, and
// exports the context to a store.
func (s *engineStream) recordSuccess(ctx context.Context) {
	if s.isolated {
		s.gateway.Isolation.Report(ctx, quarantine.Outcome{Fingerprint: s.run.fingerprint, Upstream: s.upstream.Name, Cleared: true})
	}
	s.gateway.countBlocks(s)
	s.gateway.Cache.Export(s.run.session, s.upstream, s.run.keys, s.run.view.Stores())
}

// recordBreak probes an upstream whose stream broke. If the probe fails or finds a new
// incarnation, the upstream is marked down and, unless the probe timed out, a crash is
// reported for the request's fingerprint. A broken connection to an upstream that still
// runs is not a crash.
func (s *engineStream) recordBreak(ctx context.Context) {
	now, err := s.gateway.Admission.Probe(ctx, s.upstream)
	if err == nil && now == s.incarnation {
		return
	}
	s.gateway.Admission.MarkDown(time.Now(), s.upstream)
	_ = s.gateway.Logger.Log("msg", "An upstream failed during a request.", "request", s.run.call.id, "upstream", s.upstream.Name, "alone", s.isolated, "probe", err)
	if errors.Is(err, context.DeadlineExceeded) {
		// A time-out points to a cut link or a frozen upstream rather than a crash.
		return
	}
	s.gateway.Isolation.Report(ctx, quarantine.Outcome{Fingerprint: s.run.fingerprint, Upstream: s.upstream.Name, Isolated: s.isolated})
}

// abandon closes the stream without recording a result, for a request that ends before
// its stream does, for example because the caller has left.
func (s *engineStream) abandon() {
	s.events.Close()
	s.release()
}

// countBlocks counts the prompt's blocks by the estimated source of their context.
func (g *Gateway) countBlocks(s *engineStream) {
	n := int64(len(s.run.keys))
	got := min(int64(s.choice.ReusedBlocks), n)
	switch s.choice.Source {
	case placement.Reuse:
		g.metrics.reused.Inc(got)
	case placement.Import:
		g.metrics.imported.Inc(got)
	}
	g.metrics.recomputed.Inc(n - got)
}
