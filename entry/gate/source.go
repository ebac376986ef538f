package gate

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
	// queueLimit is how long a request waits for room before its first attempt.
	queueLimit = 500 * time.Millisecond
	queuePause = 20 * time.Millisecond
	// maxQueued bounds the requests that wait for room at this instance.
	maxQueued = 512
	// firstLimit is the least time that an engine has for its first event; it
	// gets firstFactor times its estimate on top.
	firstLimit  = 3 * time.Second
	firstFactor = 3
)

// source is an engine's stream for one request.
type source struct {
	gate     *Gate
	run      *chatRun
	up       upstream.Upstream
	choice   placement.Choice
	stream   *engineclient.Stream
	release  func()
	isolated bool
	// started is the digest of the incarnation that the request began on.
	started uint64
}

// openSource sends the request to the best engine that takes it. It returns a
// refusal when there is none left to try.
func (g *Gate) openSource(ctx context.Context, run *chatRun, resumeFrom int) (*source, error) {
	for {
		if err := g.standing(ctx, run); err != nil {
			// An interrupted request waits for the equal one that is being tried.
			if err.code == codeSuspectBusy && run.tries.Runs() > 0 && g.waitForRoom(ctx, run.call, true) {
				continue
			}
			err.run = run.tries.RunState()
			return nil, err
		}
		src, err := g.tryNext(ctx, run, resumeFrom)
		switch {
		case err == nil:
			return src, nil
		case errors.Is(err, errNoRoom) && g.waitForRoom(ctx, run.call, run.tries.Runs() > 0):
			continue
		case errors.Is(err, errNoRoom) || errors.Is(err, errAllTried):
			return nil, run.noRoom()
		}
		if errors.Is(err, engineclient.ErrUnreachable) {
			// It is left out while it is down, and may be tried when it is back.
			delete(run.tried, run.last)
		}
		if ref := g.afterFailure(ctx, run, err); ref != nil {
			return nil, ref
		}
	}
}

// afterFailure returns the final answer after an engine has failed the request,
// or nil if it may go to another one. A stream goes on at its next token, so any
// number of engines may run it.
func (g *Gate) afterFailure(ctx context.Context, run *chatRun, err error) *refusal {
	f := retrypolicy.Failure{RunState: attempt.Unknown, Reached: true, Expired: ctx.Err() != nil}
	switch {
	case errors.Is(err, engineclient.ErrUnreachable):
		f.RunState, f.Reached = attempt.NotRun, false
	case provablyNotRun(err):
		f.RunState = attempt.NotRun
	}
	end, ok := run.tries.RecordFailure(f, retrypolicy.Limits{Attempts: maxAttempts, Runs: maxAttempts}, g.budget.Withdraw).(retrypolicy.GiveUp)
	switch {
	case !ok:
		g.metrics.retries.Inc(1)
		return nil
	case end.Reason == retrypolicy.OverBudget:
		return refuse(run.call.id, http.StatusServiceUnavailable, "retry-budget", "too many requests are being retried").state(end.RunState).retry(retryLater)
	}
	return run.noRoom()
}

// noRoom is the final answer to a request that no engine is left for.
func (r *chatRun) noRoom() *refusal {
	return refuse(r.call.id, http.StatusServiceUnavailable, codeNoUpstream,
		"no upstream for this work may take more now").state(r.tries.RunState()).retry(retrySoon)
}

// provablyNotRun reports whether nothing of a failed try was run.
func provablyNotRun(err error) bool {
	return errors.Is(err, engineclient.ErrRefused) || errors.Is(err, engineclient.ErrStopped)
}

// Reasons for which no engine was tried.
var (
	errNoRoom   = errors.New("no upstream has room")
	errAllTried = errors.New("each upstream was tried")
)

// waitForRoom waits a moment and reports whether the request may look again. A
// request that was interrupted waits as long as it has time, a new one only
// for a short while, and no more than a bounded number at once.
func (g *Gate) waitForRoom(ctx context.Context, c call, interrupted bool) bool {
	if !interrupted && time.Since(c.start) > queueLimit {
		return false
	}
	defer g.queued.Add(-1)
	if g.queued.Add(1) > maxQueued {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(queuePause):
		return true
	}
}

// standing refuses contents that crash upstreams, and gets a suspect the right
// to be the only copy that runs.
func (g *Gate) standing(ctx context.Context, run *chatRun) *refusal {
	switch g.Strikes.Standing(time.Now(), run.content) {
	case quarantine.Banned:
		return refuse(run.call.id, http.StatusUnprocessableEntity, "crashes-upstreams",
			"this request crashed the upstreams that ran it and is not run again")
	case quarantine.Suspected:
		if run.unlock != nil {
			return nil
		}
		unlock, ok := g.Strikes.Lock(ctx, run.content, run.call.id)
		if !ok {
			return refuse(run.call.id, http.StatusServiceUnavailable, codeSuspectBusy,
				"an equal request that may crash upstreams is being tried").retry(retryLater)
		}
		run.unlock = unlock
	}
	return nil
}

// tryNext sends the request to the best engine not yet tried.
func (g *Gate) tryNext(ctx context.Context, run *chatRun, resumeFrom int) (*source, error) {
	// The view is read again for each attempt, since an upstream may have been
	// drained in the meantime. The version stays the request's own.
	run.view = g.Follow.View()
	isolated := g.Strikes.Standing(time.Now(), run.content) == quarantine.Suspected
	choices, untried := g.rank(ctx, run)
	if untried == 0 {
		return nil, errAllTried
	}
	note := explain.Attempt{Choices: choices}
	defer func() { run.noteAttempt(note) }()
	for _, ch := range choices {
		u, _ := run.view.Upstream(ch.Upstream)
		release, err := g.Fleet.Acquire(ctx, u, run.call.id, isolated)
		if err != nil {
			note.Result += u.Name + ": " + err.Error() + "; "
			continue
		}
		note.Chosen = u.Name
		src := &source{gate: g, run: run, up: u, choice: ch, release: release, isolated: isolated}
		if err := src.open(ctx, resumeFrom); err != nil {
			note.Result += err.Error()
			return nil, err
		}
		note.Result += "streaming"
		return src, nil
	}
	return nil, errNoRoom
}

// noteAttempt keeps an attempt for explain; one that found no room replaces the
// one before it that found none either.
func (r *chatRun) noteAttempt(a explain.Attempt) {
	if n := len(r.note.Attempts); n > 0 && r.note.Attempts[n-1].Chosen == "" {
		r.note.Attempts[n-1] = a
		return
	}
	r.note.Attempts = append(r.note.Attempts, a)
}

// rank weighs the upstreams that may run the request, and counts those that
// were not tried before.
func (g *Gate) rank(ctx context.Context, run *chatRun) (choices []placement.Choice, untried int) {
	now := time.Now()
	var all []placement.Candidate
	for _, u := range g.Follow.Upstreams(run.view, run.work) {
		st := g.Fleet.Status(now, u.Name)
		if run.tried[u.Name] {
			continue
		}
		untried++
		if st.Down || (st.Version != 0 && st.Version != message.Digest(run.version)) {
			continue
		}
		_, limit := u.Limits()
		all = append(all, placement.Candidate{
			Name: u.Name, Running: st.Running, Limit: limit, Backlog: st.Backlog, Distance: g.Settings.DistanceTo(u.DataCentre),
		})
	}
	req := placement.Request{Session: run.session, Blocks: len(run.keys), StoredBlocks: len(run.stored.Blocks), LinkWait: run.stored.Wait}
	if len(run.keys) > 0 {
		g.fillHeld(ctx, run.view, req.Session, run.keys, all)
	}
	return g.placing.Rank(req, all, nil), untried
}

// askedForHeld is how many replicas a session is looked for at.
const askedForHeld = 3

// fillHeld asks the sponsors of the replicas that a session would return to.
func (g *Gate) fillHeld(ctx context.Context, v *configview.View, session string, keys []block.Key, all []placement.Candidate) {
	homes := placement.AffinityReplicas(session, all, askedForHeld, nil)
	answers := make(chan int, len(homes))
	for _, i := range homes {
		go func() {
			u, _ := v.Upstream(all[i].Name)
			all[i].CachedBlocks = g.Fleet.Held(ctx, u, keys)
			answers <- i
		}()
	}
	for range homes {
		<-answers
	}
}

// open sends the request. The last check of the configuration is made right
// before the connection is written to.
func (s *source) open(ctx context.Context, resumeFrom int) error {
	run := s.run
	run.tried[s.up.Name] = true
	run.last = s.up.Name
	run.sends++
	body, err := run.body(s.choice.Source == placement.Import)
	if err != nil {
		s.release()
		return err
	}
	att := &attempt.Attempt{Deadline: run.deadline, Guard: s.gate.guard(s.up)}
	if err := s.checkAlive(ctx); err != nil {
		s.finish(ctx, err)
		return err
	}
	stream, err := s.gate.Engines.Open(ctx, att, s.up, engineclient.Request{
		ID: run.call.id, Attempt: run.sends, Account: run.account.Name, Version: run.version,
		Priority: run.call.priority, ResumeFrom: resumeFrom, Body: body,
		FirstLimit: firstLimit + firstFactor*s.choice.Estimate,
	})
	if err != nil {
		s.finish(ctx, err)
		return err
	}
	if stream.Incarnation != "" {
		s.started = message.Digest(stream.Incarnation)
		s.gate.Fleet.Seen(time.Now(), s.up, stream.Incarnation)
	}
	s.stream = stream
	return nil
}

// checkAlive makes sure that an upstream lives before a suspect runs on it: a
// suspect must not be convicted by an upstream that was dead before.
func (s *source) checkAlive(ctx context.Context) error {
	s.started = s.gate.Fleet.Status(time.Now(), s.up.Name).Incarnation
	if !s.isolated {
		return nil
	}
	now, err := s.gate.Fleet.Probe(ctx, s.up)
	if err != nil {
		return fmt.Errorf("%w: %w", engineclient.ErrUnreachable, err)
	}
	s.started = now
	return nil
}

// guard is the last check before a request is written to an upstream.
func (g *Gate) guard(u upstream.Upstream) func(time.Time) error {
	return func(now time.Time) error {
		if !g.Follow.MayTakeWork(now) {
			return errors.New("the configuration is no longer known to be current")
		}
		if !g.Follow.Open(u.Name) {
			return errors.New("the upstream is drained or leaving")
		}
		return nil
	}
}

// finish ends the stream after its whole answer (err is nil) or a failure.
func (s *source) finish(ctx context.Context, err error) {
	if s.stream != nil {
		s.stream.Close()
	}
	s.release()
	switch {
	case err == nil:
		s.succeeded(ctx)
	case ctx.Err() != nil:
		return
	case errors.Is(err, engineclient.ErrUnreachable) || errors.Is(err, engineclient.ErrStalled):
		s.gate.Fleet.Unreachable(time.Now(), s.up)
	case errors.Is(err, engineclient.ErrBroken):
		s.broke(ctx)
	}
}

func (s *source) succeeded(ctx context.Context) {
	if s.isolated {
		s.gate.Strikes.Report(ctx, quarantine.Outcome{Fingerprint: s.run.content, Upstream: s.up.Name, Cleared: true})
	}
	s.gate.countBlocks(s)
	s.gate.Cache.Export(s.run.session, s.up, s.run.keys, s.run.view.Stores())
}

// broke finds out whether the upstream died. If it did, the request is one of
// the suspects; a mere broken connection is no strike.
func (s *source) broke(ctx context.Context) {
	now, err := s.gate.Fleet.Probe(ctx, s.up)
	if err == nil && now == s.started {
		return
	}
	s.gate.Fleet.Unreachable(time.Now(), s.up)
	_ = s.gate.Logger.Log("msg", "An upstream broke a stream.", "request", s.run.call.id, "upstream", s.up.Name, "alone", s.isolated, "probe", err)
	if errors.Is(err, context.DeadlineExceeded) {
		// Silence is a cut link or a frozen upstream rather than a crash.
		return
	}
	s.gate.Strikes.Report(ctx, quarantine.Outcome{Fingerprint: s.run.content, Upstream: s.up.Name, Isolated: s.isolated})
}

// abandon ends the stream because the caller has left or has its answer.
func (s *source) abandon() {
	s.stream.Close()
	s.release()
}

func (g *Gate) countBlocks(s *source) {
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
