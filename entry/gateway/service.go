package gateway

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
	maxServiceResponseBytes = 8 << 20
	// maxStoredResponseBytes is the size of the largest response body that is recorded,
	// to be replayed to later requests with the same key.
	maxStoredResponseBytes = 16 << 10
	// dispatchMargin is the time before its deadline in which a call is no longer sent.
	dispatchMargin = 20 * time.Millisecond
)

// serviceResponse is the response of a plain service.
type serviceResponse struct {
	id string
	order.Response
	// replayed is true if it is the recorded response to an earlier request.
	replayed bool
}

func (r serviceResponse) write(w http.ResponseWriter) {
	w.Header().Set("X-Request-Id", r.id)
	w.Header().Set("X-Run", string(attempt.Ran))
	if r.replayed {
		w.Header().Set("Idempotency-Replayed", "true")
	}
	writeBody(w, attempt.FinalStatus(r.Status, attempt.Ran), r.ContentType, r.Body)
}

// service serves a call to a plain service. The path selects the workload.
func (g *Gateway) service(ctx context.Context, c call) (response, error) {
	v := g.Follower.View()
	w, ok := v.WorkloadForPath(c.path)
	if !ok {
		return nil, newCallError(c.id, http.StatusNotFound, "path-unknown", fmt.Sprintf("no work serves the path %s", c.path))
	}
	if err := g.checkCurrent(c); err != nil {
		return nil, err
	}
	a, err := g.authenticate(c)
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
	run := &serviceRun{gateway: g, call: c, account: a, workload: w}
	run.explanation = explain.Explanation{RequestID: c.id, Instance: g.Settings.Name, Start: c.start, Account: a.Name, Workload: w.Name, Offset: v.Offset}
	var resp response
	if w.NonIdempotent && !isSafe(c.method) {
		resp, err = run.runOnce(ctx)
	} else {
		resp, err = run.forward(ctx)
	}
	run.close(err)
	return resp, err
}

// isSafe reports whether the method is safe as HTTP defines it, so that its requests
// may run more than once.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// serviceRun is the state of one call to a plain service.
type serviceRun struct {
	gateway     *Gateway
	call        call
	account     account.Account
	workload    workload.Workload
	explanation explain.Explanation
}

// close records the outcome and stores the explanation.
func (r *serviceRun) close(err error) {
	r.explanation.Outcome, r.explanation.RunState = "ok", string(attempt.Ran)
	var callErr *callError
	if errors.As(err, &callErr) {
		r.explanation.Outcome, r.explanation.RunState = callErr.code, string(callErr.runState)
	} else {
		r.gateway.metrics.count("ok")
	}
	r.gateway.history.Put(r.explanation)
}

// runOnce runs a non-idempotent order at most once. It sends the order only after the
// log shows that this request holds the claim on the key.
func (r *serviceRun) runOnce(ctx context.Context) (response, error) {
	req, err := r.claimRequest(ctx)
	if err != nil {
		return nil, err
	}
	resp := r.gateway.Claims.Claim(ctx, req)
	switch resp.Verdict {
	case order.Granted:
		return r.runClaimed(ctx, req)
	case order.Done:
		return r.replay(resp.Response)
	case order.Running:
		return nil, newCallError(r.call.id, http.StatusConflict, "order-running",
			"an order with this key was sent and its outcome is not known").withRunState(attempt.Unknown).withRetryAfter(shortRetryAfter)
	case order.KeyTooOld:
		return nil, newCallError(r.call.id, http.StatusConflict, "key-too-old",
			"the key's time is outside the time that orders can be checked for; this request was not run")
	case order.Undecided:
		// The claim may still be granted: report it as not run, so that the key can be
		// claimed again.
		r.gateway.Claims.Report(message.ClaimReport{Key: req.Key, Claim: req.Claim, NotRun: true})
		return nil, newCallError(r.call.id, http.StatusGatewayTimeout, "order-undecided",
			"it could not be found out in time whether an order with this key was sent").withRunState(attempt.Unknown).withRetryAfter(longRetryAfter)
	case order.Full:
		return nil, newCallError(r.call.id, http.StatusServiceUnavailable, "orders-full", "too many orders are open").withRetryAfter(longRetryAfter)
	default:
		// If the claim may still get into the log, the registry releases it.
		return nil, newCallError(r.call.id, http.StatusServiceUnavailable, "log-unavailable",
			"the order can't be recorded now, so it was not run").withRetryAfter(longRetryAfter)
	}
}

// claimRequest returns the request for a claim on the call's idempotency key. A request
// id that the caller sent is the key if there is no other.
func (r *serviceRun) claimRequest(ctx context.Context) (message.ClaimRequest, error) {
	key := r.call.idempotencyKey
	if key == "" && r.call.idFromCaller {
		key = r.call.id
	}
	if key == "" {
		return message.ClaimRequest{}, newCallError(r.call.id, http.StatusBadRequest, "key-missing",
			"this path takes orders that run at most once; send an Idempotency-Key header")
	}
	if r.workload.RequireKeyTime && r.call.keyTime.IsZero() {
		return message.ClaimRequest{}, newCallError(r.call.id, http.StatusBadRequest, "key-time-missing",
			"send a UUIDv7 as key or an Idempotency-Key-Time header")
	}
	deadline, _ := ctx.Deadline()
	return message.ClaimRequest{
		Key:   order.NewKey(r.account.Name, r.call.path+"\x00"+key),
		Claim: r.gateway.Settings.Name + "/" + uuid.NewString(), KeyTime: r.call.keyTime,
		Wait: time.Until(deadline) - dispatchMargin,
	}, nil
}

// runClaimed sends an order whose claim this request holds, and reports the outcome to
// the registry. An unknown outcome is not reported, so that the key stays claimed.
func (r *serviceRun) runClaimed(ctx context.Context, req message.ClaimRequest) (response, error) {
	resp, runState, err := r.dispatch(ctx)
	report := message.ClaimReport{Key: req.Key, Claim: req.Claim}
	switch runState {
	case attempt.NotRun:
		report.NotRun = true
		r.gateway.Claims.Report(report)
	case attempt.Ran:
		report.Response = resp.Response
		if len(report.Response.Body) > maxStoredResponseBytes {
			report.Response.Body, report.Response.TooLarge = nil, true
		}
		r.gateway.Claims.Report(report)
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// replay returns the recorded response to an earlier request with the same key.
func (r *serviceRun) replay(stored order.Response) (response, error) {
	if stored.TooLarge {
		return nil, newCallError(r.call.id, http.StatusConflict, "answer-not-kept",
			"the order ran before; its answer was too large to keep").withRunState(attempt.Ran)
	}
	return serviceResponse{r.call.id, stored, true}, nil
}

// forward sends a call that is not an order. After an attempt with an unknown outcome
// it retries only safe methods.
func (r *serviceRun) forward(ctx context.Context) (response, error) {
	limits := retrypolicy.Limits{Attempts: maxAttempts, Runs: 1}
	if isSafe(r.call.method) {
		limits.Runs = maxAttempts
	}
	var policy retrypolicy.Policy
	for {
		resp, runState, err := r.dispatch(ctx)
		if err == nil {
			return resp, nil
		}
		if runState == attempt.NotRun {
			// dispatch has attempted all available upstreams already.
			return nil, err
		}
		f := retrypolicy.Failure{RunState: runState, Reached: true, Expired: ctx.Err() != nil}
		if _, giveUp := policy.RecordFailure(f, limits, r.gateway.retryBudget.Withdraw).(retrypolicy.GiveUp); giveUp {
			return nil, err
		}
		r.gateway.metrics.retries.Inc(1)
	}
}

// dispatch sends the call to an upstream. It waits up to maxQueueWait for one that has
// capacity.
func (r *serviceRun) dispatch(ctx context.Context) (serviceResponse, attempt.RunState, error) {
	for {
		resp, runState, err := r.dispatchOnce(ctx)
		var callErr *callError
		if !errors.As(err, &callErr) || callErr.code != codeNoUpstream || !r.gateway.waitForCapacity(ctx, r.call, false) {
			return resp, runState, err
		}
	}
}

// dispatchOnce sends the call to the available upstreams in turn, as long as the
// previous one provably did not run it.
func (r *serviceRun) dispatchOnce(ctx context.Context) (serviceResponse, attempt.RunState, error) {
	v := r.gateway.Follower.View()
	for _, u := range r.candidates(v) {
		release, err := r.gateway.Admission.Acquire(ctx, u, r.call.id, false)
		if err != nil {
			r.explanation.Attempts = append(r.explanation.Attempts, explain.Attempt{Result: u.Name + ": " + err.Error()})
			continue
		}
		att := &attempt.Attempt{Guard: r.gateway.guard(u)}
		if deadline, ok := ctx.Deadline(); ok {
			att.Deadline = deadline.Add(-dispatchMargin)
		}
		resp, err := r.send(ctx, u, att)
		release()
		r.explanation.Attempts = append(r.explanation.Attempts, explain.Attempt{Chosen: u.Name, Result: fmt.Sprintf("%s: %v", att.RunState(), err)})
		if err != nil {
			_ = r.gateway.Logger.Log("msg", "A call to a service failed.", "request", r.call.id, "upstream", u.Name, "run", att.RunState(), "err", err)
		}
		switch {
		case err == nil:
			return resp, attempt.Ran, nil
		case att.RunState() != attempt.NotRun:
			return resp, att.RunState(), r.outcomeUnknown(ctx, err)
		}
	}
	if ctx.Err() != nil {
		return serviceResponse{}, attempt.NotRun, newCallError(r.call.id, http.StatusGatewayTimeout, "deadline", "the request's time is over").withRetryAfter(shortRetryAfter)
	}
	return serviceResponse{}, attempt.NotRun, newCallError(r.call.id, http.StatusServiceUnavailable, codeNoUpstream,
		"no upstream for this work may take more now").withRetryAfter(shortRetryAfter)
}

// outcomeUnknown returns the error for a call that an upstream may have run.
func (r *serviceRun) outcomeUnknown(ctx context.Context, err error) *callError {
	status, code := http.StatusBadGateway, "outcome-unknown"
	if ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	return newCallError(r.call.id, status, code, "the upstream was sent the request and its answer did not arrive: "+err.Error()).withRunState(attempt.Unknown).withRetryAfter(longRetryAfter)
}

// candidates returns the upstreams that are not down and have capacity, least loaded
// first. Warm upstreams come before all others.
func (r *serviceRun) candidates(v *configview.View) []upstream.Upstream {
	now := time.Now()
	all := r.gateway.Follower.Upstreams(v, r.workload)
	load := map[string]float64{}
	available := all[:0:0]
	for _, u := range all {
		st := r.gateway.Admission.Status(now, u.Name)
		_, limit := u.Limits()
		if st.Down || st.Running >= limit {
			continue
		}
		load[u.Name] = float64(st.Running) / float64(limit)
		if st.Warm {
			load[u.Name]--
		}
		available = append(available, u)
	}
	sort.SliceStable(available, func(i, j int) bool { return load[available[i].Name] < load[available[j].Name] })
	if len(available) > 1 && load[available[0].Name] == load[available[len(available)-1].Name] {
		// All are equally loaded: a hash of the request id selects the first.
		i := placement.AffinityReplicas(r.call.id, placementCandidates(available), 1, nil)[0]
		available[0], available[i] = available[i], available[0]
	}
	return available
}

func placementCandidates(all []upstream.Upstream) []placement.Candidate {
	out := make([]placement.Candidate, len(all))
	for i, u := range all {
		out[i].Name = u.Name
	}
	return out
}

// send makes one call on a connection of its own. The attempt begins right before the
// first write to the connection, from which on the upstream may have run the call.
func (r *serviceRun) send(ctx context.Context, u upstream.Upstream, att *attempt.Attempt) (serviceResponse, error) {
	transport := guard.Transport(&http.Transport{DisableKeepAlives: true, DialContext: r.gateway.Network.Dial})
	req, err := r.newRequest(guard.WithAttempt(ctx, att), u)
	if err != nil {
		return serviceResponse{}, err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		cancelled := errors.Is(err, attempt.ErrRevoked) || errors.Is(err, attempt.ErrDeadline) || ctx.Err() != nil
		if att.RunState() == attempt.NotRun && !cancelled {
			r.gateway.Admission.MarkDown(time.Now(), u)
		}
		// The transport may still be about to write. Forbid it, since the run state is
		// reported from here on.
		att.Revoke()
		return serviceResponse{}, fmt.Errorf("calling %s: %w", u.Name, err)
	}
	defer resp.Body.Close()
	return r.readResponse(resp, u, att)
}

func (r *serviceRun) newRequest(ctx context.Context, u upstream.Upstream) (*http.Request, error) {
	url := "http://" + u.Address.String() + r.call.path
	if r.call.query != "" {
		url += "?" + r.call.query
	}
	req, err := http.NewRequestWithContext(ctx, r.call.method, url, bytes.NewReader(r.call.body))
	if err != nil {
		return nil, fmt.Errorf("preparing a call to %s: %w", u.Name, err)
	}
	// The transport may send a request that it considers idempotent a second time.
	// Without GetBody, on a new connection, it can't.
	req.GetBody = nil
	req.Header.Set("X-Request-Id", r.call.id)
	req.Header.Set("X-Client-Account", r.account.Name)
	if r.call.contentType != "" {
		req.Header.Set("Content-Type", r.call.contentType)
	}
	if r.call.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.call.idempotencyKey)
	}
	return req, nil
}

// readResponse reads a response and records in att whether the call ran. It returns an
// error if the upstream refused the call or the response is incomplete or of another
// request.
func (r *serviceRun) readResponse(resp *http.Response, u upstream.Upstream, att *attempt.Attempt) (serviceResponse, error) {
	if !attempt.IsFinal(resp.StatusCode) {
		return serviceResponse{}, fmt.Errorf("reading the answer of %s: the status %d is not one of a final response", u.Name, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceResponseBytes+1))
	if err != nil {
		return serviceResponse{}, fmt.Errorf("reading the answer of %s: %w", u.Name, err)
	}
	if len(body) > maxServiceResponseBytes {
		return serviceResponse{}, fmt.Errorf("reading the answer of %s: it is larger than %d bytes", u.Name, maxServiceResponseBytes)
	}
	if id := resp.Header.Get("X-Request-Id"); id != "" && id != r.call.id {
		return serviceResponse{}, fmt.Errorf("reading the answer of %s: it belongs to another request", u.Name)
	}
	if resp.Header.Get("X-Run") == string(attempt.NotRun) {
		att.MarkRefused()
		return serviceResponse{}, fmt.Errorf("calling %s: it refused the request, status %d", u.Name, resp.StatusCode)
	}
	att.MarkCompleted()
	return serviceResponse{r.call.id, order.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, false}, nil
}
