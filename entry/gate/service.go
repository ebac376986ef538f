package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/google/uuid"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/attempt"
	"crocusfold.dev/core/order"
	"crocusfold.dev/core/placement"
	"crocusfold.dev/core/retrypolicy"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/core/workload"
	"crocusfold.dev/entry/configview"
	"crocusfold.dev/entry/explain"
	"crocusfold.dev/entry/guard"
	"crocusfold.dev/entry/message"
)

// Limits of calls to plain services.
const (
	maxServiceAnswer = 8 << 20
	// maxKeptAnswer is the largest body that is kept for a second asker.
	maxKeptAnswer = 16 << 10
	// lastMoment is left of a deadline when an order is no longer dispatched.
	lastMoment = 20 * time.Millisecond
)

// serviceAnswer is a plain service's answer.
type serviceAnswer struct {
	id string
	order.Response
	// replayed is true if it was given to an earlier request.
	replayed bool
}

func (a serviceAnswer) write(w http.ResponseWriter) {
	w.Header().Set("X-Request-Id", a.id)
	w.Header().Set("X-Run", string(attempt.Ran))
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	if a.replayed {
		w.Header().Set("Idempotency-Replayed", "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// service routes a call to a plain service by its path.
func (g *Gate) service(ctx context.Context, c call) (answer, error) {
	v := g.Follow.View()
	w, ok := v.WorkloadForPath(c.path)
	if !ok {
		return nil, refuse(c.id, http.StatusNotFound, "path-unknown", fmt.Sprintf("no work serves the path %s", c.path))
	}
	if err := g.open(c); err != nil {
		return nil, err
	}
	a, err := g.identify(c)
	if err != nil {
		return nil, err
	}
	release, err := g.admit(ctx, c, a, w)
	if err != nil {
		return nil, err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, c.deadline(w.TimeoutOrDefault()))
	defer cancel()
	run := &serviceRun{gate: g, call: c, account: a, work: w}
	run.note = explain.Explanation{Request: c.id, Instance: g.Settings.Name, At: c.start, Account: a.Name, Work: w.Name, Offset: v.Offset}
	var ans answer
	if w.NonIdempotent && !safe(c.method) {
		ans, err = run.once(ctx)
	} else {
		ans, err = run.forward(ctx)
	}
	run.close(err)
	return ans, err
}

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// serviceRun is one call to a plain service on its way.
type serviceRun struct {
	gate    *Gate
	call    call
	account account.Account
	work    workload.Workload
	note    explain.Explanation
}

func (r *serviceRun) close(err error) {
	r.note.Outcome, r.note.Run = "ok", string(attempt.Ran)
	var ref *refusal
	if errors.As(err, &ref) {
		r.note.Outcome, r.note.Run = ref.code, string(ref.run)
	} else {
		r.gate.metrics.count("ok")
	}
	r.gate.book.Put(r.note)
}

// once runs a non-idempotent order at most once. The claim is taken first; the
// order is sent only after the log has shown that the claim is this request's.
func (r *serviceRun) once(ctx context.Context) (answer, error) {
	ask, err := r.claimRequest(ctx)
	if err != nil {
		return nil, err
	}
	rep := r.gate.Desk.Claim(ctx, ask)
	switch rep.Verdict {
	case order.Granted:
		return r.runClaimed(ctx, ask)
	case order.Done:
		return r.replay(rep.Answer)
	case order.Running:
		return nil, refuse(r.call.id, http.StatusConflict, "order-running",
			"an order with this key was sent and its outcome is not known").state(attempt.Unknown).retry(retrySoon)
	case order.KeyTooOld:
		return nil, refuse(r.call.id, http.StatusConflict, "key-too-old",
			"the key's time is outside the time that orders can be checked for; this request was not run")
	case order.Undecided:
		r.gate.Desk.Settle(message.OrderEnd{Key: ask.Key, Claim: ask.Claim, NotRun: true})
		return nil, refuse(r.call.id, http.StatusGatewayTimeout, "order-undecided",
			"it could not be found out in time whether an order with this key was sent").state(attempt.Unknown).retry(retryLater)
	case order.Full:
		return nil, refuse(r.call.id, http.StatusServiceUnavailable, "orders-full", "too many orders are open").retry(retryLater)
	default:
		// The register itself releases a claim that may still get into the log.
		return nil, refuse(r.call.id, http.StatusServiceUnavailable, "log-unavailable",
			"the order can't be recorded now, so it was not run").retry(retryLater)
	}
}

func (r *serviceRun) claimRequest(ctx context.Context) (message.OrderAsk, error) {
	key := r.call.key
	if key == "" && r.call.givenID {
		key = r.call.id
	}
	if key == "" {
		return message.OrderAsk{}, refuse(r.call.id, http.StatusBadRequest, "key-missing",
			"this path takes orders that run at most once; send an Idempotency-Key header")
	}
	if r.work.RequireKeyTime && r.call.keyTime.IsZero() {
		return message.OrderAsk{}, refuse(r.call.id, http.StatusBadRequest, "key-time-missing",
			"send a UUIDv7 as key or an Idempotency-Key-Time header")
	}
	deadline, _ := ctx.Deadline()
	return message.OrderAsk{
		Key:   order.NewKey(r.account.Name, r.call.path+"\x00"+key),
		Claim: r.gate.Settings.Name + "/" + uuid.NewString(), KeyTime: r.call.keyTime,
		Wait: time.Until(deadline) - lastMoment,
	}, nil
}

// runClaimed sends an order that this request holds the claim of.
func (r *serviceRun) runClaimed(ctx context.Context, ask message.OrderAsk) (answer, error) {
	ans, run, err := r.dispatch(ctx)
	end := message.OrderEnd{Key: ask.Key, Claim: ask.Claim}
	switch run {
	case attempt.NotRun:
		end.NotRun = true
		r.gate.Desk.Settle(end)
	case attempt.Ran:
		end.Answer = ans.Response
		if len(end.Answer.Body) > maxKeptAnswer {
			end.Answer.Body, end.Answer.TooLarge = nil, true
		}
		r.gate.Desk.Settle(end)
	}
	if err != nil {
		return nil, err
	}
	return ans, nil
}

// replay gives a second asker the first one's answer.
func (r *serviceRun) replay(a order.Response) (answer, error) {
	if a.TooLarge {
		return nil, refuse(r.call.id, http.StatusConflict, "answer-not-kept",
			"the order ran before; its answer was too large to keep").state(attempt.Ran)
	}
	return serviceAnswer{r.call.id, a, true}, nil
}

// forward sends a call that may be repeated.
func (r *serviceRun) forward(ctx context.Context) (answer, error) {
	allowed := retrypolicy.Limits{Attempts: maxAttempts, Runs: 1}
	if safe(r.call.method) {
		allowed.Runs = maxAttempts
	}
	var t retrypolicy.Policy
	for {
		ans, run, err := r.dispatch(ctx)
		if err == nil {
			return ans, nil
		}
		if run == attempt.NotRun {
			// Each upstream was asked already.
			return nil, err
		}
		f := retrypolicy.Failure{RunState: run, Reached: true, Expired: ctx.Err() != nil}
		if _, end := t.RecordFailure(f, allowed, r.gate.budget.Withdraw).(retrypolicy.GiveUp); end {
			return nil, err
		}
		r.gate.metrics.retries.Inc(1)
	}
}

// dispatch sends the call to an upstream, waiting a short while for one that
// has room.
func (r *serviceRun) dispatch(ctx context.Context) (serviceAnswer, attempt.RunState, error) {
	for {
		ans, run, err := r.dispatchNow(ctx)
		var full *refusal
		if !errors.As(err, &full) || full.code != codeNoUpstream || !r.gate.waitForRoom(ctx, r.call, false) {
			return ans, run, err
		}
	}
}

// dispatchNow sends the call to an upstream, and to the next only if the one
// before provably did not run it.
func (r *serviceRun) dispatchNow(ctx context.Context) (serviceAnswer, attempt.RunState, error) {
	v := r.gate.Follow.View()
	for _, u := range r.candidates(v) {
		release, err := r.gate.Fleet.Acquire(ctx, u, r.call.id, false)
		if err != nil {
			r.note.Attempts = append(r.note.Attempts, explain.Attempt{Result: u.Name + ": " + err.Error()})
			continue
		}
		att := &attempt.Attempt{Guard: r.gate.guard(u)}
		if deadline, ok := ctx.Deadline(); ok {
			att.Deadline = deadline.Add(-lastMoment)
		}
		ans, err := r.send(ctx, u, att)
		release()
		r.note.Attempts = append(r.note.Attempts, explain.Attempt{Chosen: u.Name, Result: fmt.Sprintf("%s: %v", att.RunState(), err)})
		if err != nil {
			_ = r.gate.Logger.Log("msg", "A call to a service failed.", "request", r.call.id, "upstream", u.Name, "run", att.RunState(), "err", err)
		}
		switch {
		case err == nil:
			return ans, attempt.Ran, nil
		case att.RunState() != attempt.NotRun:
			return ans, att.RunState(), r.unknown(ctx, err)
		}
	}
	if ctx.Err() != nil {
		return serviceAnswer{}, attempt.NotRun, refuse(r.call.id, http.StatusGatewayTimeout, "deadline", "the request's time is over").retry(retrySoon)
	}
	return serviceAnswer{}, attempt.NotRun, refuse(r.call.id, http.StatusServiceUnavailable, codeNoUpstream,
		"no upstream for this work may take more now").retry(retrySoon)
}

func (r *serviceRun) unknown(ctx context.Context, err error) *refusal {
	status, code := http.StatusBadGateway, "outcome-unknown"
	if ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	return refuse(r.call.id, status, code, "the upstream was sent the request and its answer did not arrive: "+err.Error()).state(attempt.Unknown).retry(retryLater)
}

// candidates lists the upstreams, least loaded first.
func (r *serviceRun) candidates(v *configview.View) []upstream.Upstream {
	now := time.Now()
	all := r.gate.Follow.Upstreams(v, r.work)
	load := map[string]float64{}
	open := all[:0:0]
	for _, u := range all {
		st := r.gate.Fleet.Status(now, u.Name)
		_, limit := u.Limits()
		if st.Down || st.Running >= limit {
			continue
		}
		load[u.Name] = float64(st.Running) / float64(limit)
		if st.Warm {
			load[u.Name]--
		}
		open = append(open, u)
	}
	sort.SliceStable(open, func(i, j int) bool { return load[open[i].Name] < load[open[j].Name] })
	if len(open) > 1 && load[open[0].Name] == load[open[len(open)-1].Name] {
		// Equally loaded upstreams share the calls by request id.
		i := placement.AffinityReplicas(r.call.id, names(open), 1, nil)[0]
		open[0], open[i] = open[i], open[0]
	}
	return open
}

func names(all []upstream.Upstream) []placement.Candidate {
	out := make([]placement.Candidate, len(all))
	for i, u := range all {
		out[i].Name = u.Name
	}
	return out
}

// send makes one call on a connection of its own. Its first write is where
// "not run" stops being true, so that is where the attempt begins.
func (r *serviceRun) send(ctx context.Context, u upstream.Upstream, att *attempt.Attempt) (serviceAnswer, error) {
	transport := guard.Transport(&http.Transport{DisableKeepAlives: true, DialContext: r.gate.Network.Dial})
	req, err := r.request(guard.WithAttempt(ctx, att), u)
	if err != nil {
		return serviceAnswer{}, err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		ours := errors.Is(err, attempt.ErrRevoked) || errors.Is(err, attempt.ErrDeadline) || ctx.Err() != nil
		if att.RunState() == attempt.NotRun && !ours {
			r.gate.Fleet.Unreachable(time.Now(), u)
		}
		// No write may follow the statement made from here on.
		att.Revoke()
		return serviceAnswer{}, fmt.Errorf("calling %s: %w", u.Name, err)
	}
	defer resp.Body.Close()
	return r.readAnswer(resp, u, att)
}

func (r *serviceRun) request(ctx context.Context, u upstream.Upstream) (*http.Request, error) {
	url := "http://" + u.Address.String() + r.call.path
	if r.call.query != "" {
		url += "?" + r.call.query
	}
	req, err := http.NewRequestWithContext(ctx, r.call.method, url, bytes.NewReader(r.call.body))
	if err != nil {
		return nil, fmt.Errorf("preparing a call to %s: %w", u.Name, err)
	}
	// The transport repeats requests that it takes for idempotent; without
	// GetBody and on a fresh connection it has no way to.
	req.GetBody = nil
	req.Header.Set("X-Request-Id", r.call.id)
	req.Header.Set("X-Client-Account", r.account.Name)
	if r.call.kind != "" {
		req.Header.Set("Content-Type", r.call.kind)
	}
	if r.call.key != "" {
		req.Header.Set("Idempotency-Key", r.call.key)
	}
	return req, nil
}

func (r *serviceRun) readAnswer(resp *http.Response, u upstream.Upstream, att *attempt.Attempt) (serviceAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswer+1))
	if err != nil {
		return serviceAnswer{}, fmt.Errorf("reading the answer of %s: %w", u.Name, err)
	}
	if len(body) > maxServiceAnswer {
		return serviceAnswer{}, fmt.Errorf("reading the answer of %s: it is larger than %d bytes", u.Name, maxServiceAnswer)
	}
	if id := resp.Header.Get("X-Request-Id"); id != "" && id != r.call.id {
		return serviceAnswer{}, fmt.Errorf("reading the answer of %s: it belongs to another request", u.Name)
	}
	if resp.Header.Get("X-Run") == string(attempt.NotRun) {
		att.MarkRefused()
		return serviceAnswer{}, fmt.Errorf("calling %s: it refused the request, status %d", u.Name, resp.StatusCode)
	}
	att.MarkCompleted()
	return serviceAnswer{r.call.id, order.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, false}, nil
}
