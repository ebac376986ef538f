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

// Limits of one request's way through the engines.
const (
	// maxAttempts bounds the engines that one request is sent to.
	maxAttempts = 4
	// maxQueueWait is how long a request waits for room before its first attempt.
	maxQueueWait      = 500 * time.Millisecond
	queuePollInterval = 20 * time.Millisecond
	// maxQueued bounds the requests that wait for room at this instance.
	maxQueued = 512
	// firstEventTimeout is the least time that an engine has for its first event; it
	// gets firstFactor times its estimate on top.
	firstEventTimeout = 3 * time.Second
	firstEventFactor  = 3
)

// engineStream is an engine's stream for one request.
type engineStream struct {
	gateway  *Gateway
	run      *chatRun
	upstream upstream.Upstream
	choice   placement.Choice
	events   *engineclient.Stream
	release  func()
	isolated bool
	// incarnation is the digest of the incarnation that the request began on.
	incarnation uint64
}

// openStream sends the request to the best engine that takes it. It returns a
// refusal when there is none left to try.
func (g *Gateway) openStream(ctx context.Context, run *chatRun, resumeFrom int) (*engineStream, error) {
	for {
		if err := g.checkQuarantine(ctx, run); err != nil {
			// An interrupted request waits for the equal one that is being tried.
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
			// It is left out while it is down, and may be tried when it is back.
			delete(run.attempted, run.lastAttempted)
		}
		if ref := g.handleFailure(ctx, run, err); ref != nil {
			return nil, ref
		}
	}
}

// handleFailure returns the final answer after an engine has failed the request,
// or nil if it may go to another one. A stream goes on at its next token, so any
// number of engines may run it.
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

// noUpstreamError is the final answer to a request that no engine is left for.
func (r *chatRun) noUpstreamError() *callError {
	return newCallError(r.call.id, http.StatusServiceUnavailable, codeNoUpstream,
		"no upstream for this work may take more now").withRunState(r.retryPolicy.RunState()).withRetryAfter(shortRetryAfter)
}

// provesNotRun reports whether nothing of a failed try was run.
func provesNotRun(err error) bool {
	return errors.Is(err, engineclient.ErrRefused) || errors.Is(err, engineclient.ErrStopped)
}

// Reasons for which no engine was tried.
var (
	errNoCapacity   = errors.New("no upstream has room")
	errAllAttempted = errors.New("each upstream was tried")
)

// waitForCapacity waits a moment and reports whether the request may look again. A
// request that was interrupted waits as long as it has time, a new one only
// for a short while, and no more than a bounded number at once.
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

// checkQuarantine refuses contents that crash upstreams, and gets a suspect the right
// to be the only copy that runs.
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

// attemptNext sends the request to the best engine not yet tried.
func (g *Gateway) attemptNext(ctx context.Context, run *chatRun, resumeFrom int) (*engineStream, error) {
	// The view is read again for each attempt, since an upstream may have been
	// drained in the meantime. The version stays the request's own.
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

// recordAttempt keeps an attempt for explain; one that found no room replaces the
// one before it that found none either.
func (r *chatRun) recordAttempt(a explain.Attempt) {
	if n := len(r.explanation.Attempts); n > 0 && r.explanation.Attempts[n-1].Chosen == "" {
		r.explanation.Attempts[n-1] = a
		return
	}
	r.explanation.Attempts = append(r.explanation.Attempts, a)
}

// rank weighs the upstreams that may run the request, and counts those that
// were not tried before.
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

// maxCacheQueries is how many replicas a session is looked for at.
const maxCacheQueries = 3

// fillCachedBlocks asks the sponsors of the replicas that a session would return to.
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

// open sends the request. The last check of the configuration is made right
// before the connection is written to.
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

// verifyAlive makes sure that an upstream lives before a suspect runs on it: a
// suspect must not be convicted by an upstream that was dead before.
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

// guard is the last check before a request is written to an upstream.
func (g *Gateway) guard(u upstream.Upstream) func(time.Time) error {
	return func(now time.Time) error {
		if !g.Follower.AllowsNewWork(now) {
			return errors.New("the configuration is no longer known to be current")
		}
		if !g.Follower.Open(u.Name) {
			return errors.New("the upstream is drained or leaving")
		}
		return nil
	}
}

// finish ends the stream after its whole answer (err is nil) or a failure.
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

func (s *engineStream) recordSuccess(ctx context.Context) {
	if s.isolated {
		s.gateway.Isolation.Report(ctx, quarantine.Outcome{Fingerprint: s.run.fingerprint, Upstream: s.upstream.Name, Cleared: true})
	}
	s.gateway.countBlocks(s)
	s.gateway.Cache.Export(s.run.session, s.upstream, s.run.keys, s.run.view.Stores())
}

// recordBreak finds out whether the upstream died. If it did, the request is one of
// the suspects; a mere broken connection is no strike.
func (s *engineStream) recordBreak(ctx context.Context) {
	now, err := s.gateway.Admission.Probe(ctx, s.upstream)
	if err == nil && now == s.incarnation {
		return
	}
	s.gateway.Admission.MarkDown(time.Now(), s.upstream)
	_ = s.gateway.Logger.Log("msg", "An upstream broke a stream.", "request", s.run.call.id, "upstream", s.upstream.Name, "alone", s.isolated, "probe", err)
	if errors.Is(err, context.DeadlineExceeded) {
		// Silence is a cut link or a frozen upstream rather than a crash.
		return
	}
	s.gateway.Isolation.Report(ctx, quarantine.Outcome{Fingerprint: s.run.fingerprint, Upstream: s.upstream.Name, Isolated: s.isolated})
}

// abandon ends the stream because the caller has left or has its answer.
func (s *engineStream) abandon() {
	s.events.Close()
	s.release()
}

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
