package replicas

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/adapter"
)

// MinVersion returns the oldest weight version that requests may begin on; 0 if there is no
// limit.
func (rs *Replicas) MinVersion(now time.Time, model string) int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.minVersion(now, model)
}

func (rs *Replicas) minVersion(now time.Time, model string) int {
	if h := rs.named[model]; h != nil {
		return h.InForce(now, rs.Bounds.Bounds().Version-versionMargin)
	}
	return 0
}

// namedVersion returns the newest weight version that the operators named for a model; 0 if there
// is none.
func (rs *Replicas) namedVersion(model string) int {
	if h := rs.named[model]; h != nil {
		return h.Newest().Version
	}
	return 0
}

// Placement is a request that is counted as in flight at a replica, from Place to End.
type Placement struct {
	pool.Choice
	// Transport has the connections to the replica.
	Transport *http.Transport
	// Salt is the salt of the request's context; empty if the request has no model.
	Salt string
	// Fetch and Save have, for each part of the prompt, the address of the store that
	// the part is fetched from or saved to. An invalid address means none. Both are nil
	// if the request uses no stores.
	Fetch, Save []netip.AddrPort
	// FetchUntil is the deadline of the fetches on the replicas' clock, in Unix
	// milliseconds; 0 if that clock is not known or Fetch is nil.
	FetchUntil int64
	// Load is what the request adds to the replica's load.
	Load      pool.Load
	startedAt time.Time
	// request is the placed request, and grantedAt when it was granted within the limit of
	// the replica; zero if it was not.
	request   PlacementRequest
	grantedAt time.Time
	// responseStarted is true once the pending prefill was removed from the load.
	responseStarted bool
	// sources are the sources of the shared parts, as in ContextSources. fetchedFrom has
	// the name of the store for each fetched part.
	sources     []string
	fetchedFrom []string
}

// ContextSources returns the source of each shared part of the prompt, for the log:
// +STORE if it is fetched, >STORE if it is prefilled and saved, and - if it is prefilled
// or in the replica's cache.
func (p *Placement) ContextSources() string {
	return strings.Join(p.sources, ",")
}

// ExpectedEvents returns the expected number of events of the response; 0 if not known.
func (p *Placement) ExpectedEvents() int { return p.request.Events }

// PartCounts returns the number of shared parts of the prompt, and how many of them are
// fetched from and saved to stores.
func (p *Placement) PartCounts() (all, fetched, saved int) {
	for _, source := range p.sources {
		switch source[0] {
		case '+':
			fetched++
		case '>':
			saved++
		}
	}
	return len(p.sources), fetched, saved
}

// PlacementRequest is a request to be placed at a replica.
type PlacementRequest struct {
	pool.Request
	// Parts are the parts of the prompt in order. All but the last, which is the
	// request's own, may be shared with other requests.
	Parts        []adapter.PromptPart
	PromptTokens int
	// TargetLatency is the time within which the response should start; 0 if there is
	// no target.
	TargetLatency time.Duration
	// Bytes is the size of the request's body.
	Bytes int
	// IsolatedAccount is the name of the request's account if it shares no context with
	// other accounts, and else empty.
	IsolatedAccount string
}

// Refusal says why no replica can take a request.
type Refusal struct {
	// Reason is empty if there is a replica.
	Reason pool.Reason
	// Wait is the time until a limited replica may take the request, if the reason is
	// pool.Limited.
	Wait time.Duration
}

// Place chooses a replica for a request, counts the request as in flight there, and
// plans the fetches and saves of its context. At a limited replica, Granted plans them, so
// that nothing is reserved for a request that is denied. If no replica can take the
// request, Place returns the refusal. Call End once for each placement.
func (rs *Replicas) Place(now time.Time, req PlacementRequest) (*Placement, Refusal) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	req.MinVersion = rs.minVersion(now, req.Model)
	rs.locateContext(now, &req)
	choice, reason := rs.pool.Choose(now, req.Request)
	if reason != "" {
		return nil, Refusal{reason, choice.Wait}
	}
	p := &Placement{Choice: choice, Transport: rs.connsTo(choice.Replica).transport, startedAt: now, request: req}
	p.Load = pool.Load{Tokens: req.Tokens, PendingPrefill: req.PromptTokens, PendingTransfer: choice.Estimate.TransferTime}
	if choice.Contended && req.Memory == 0 {
		p.Load.Bytes = req.Bytes
	}
	p.Load.Urgency = choice.Urgency(now, req.Deadline)
	if req.Model != "" && !choice.Limited {
		rs.planContext(now, req, p)
	}
	rs.pool.Begin(choice.ID, p.Load)
	return p, Refusal{}
}

// locateContext sets the transfers of the shared parts that stores hold, the number of
// tokens that no store holds, and the replica that is prefilling them, if any.
func (rs *Replicas) locateContext(now time.Time, req *PlacementRequest) {
	if req.Model == "" || len(req.Parts) < 2 {
		return
	}
	salt := directory.Salt(req.Model, rs.pool.NewestVersion(req.Service, req.Model), req.IsolatedAccount)
	for _, part := range req.Parts[:len(req.Parts)-1] {
		key := directory.Part{Salt: salt, ID: part.ID}
		if store, ok := rs.dir.Locate(key, part.Tokens); ok {
			req.Transfers = append(req.Transfers, rs.dir.Transfer(store, part.Tokens))
			req.PrefillTokens = max(0, req.PrefillTokens-part.Tokens)
			continue
		}
		req.MissingTokens += part.Tokens
		if replica, ok := rs.dir.SavingReplica(now, key); ok {
			req.PrefillReplica = replica
		}
	}
}

// planContext chooses for each shared part of the prompt the store that it is fetched
// from or saved to, if any.
func (rs *Replicas) planContext(now time.Time, req PlacementRequest, p *Placement) {
	p.Salt = directory.Salt(req.Model, p.Version, req.IsolatedAccount)
	if len(req.Parts) == 0 || len(rs.stores) == 0 {
		return
	}
	if rs.fetchStopped(now, req.Model, p.Version) {
		return
	}
	p.Fetch = make([]netip.AddrPort, len(req.Parts))
	p.Save = make([]netip.AddrPort, len(req.Parts))
	old := p.Version < rs.namedVersion(req.Model)
	longest := time.Duration(0)
	for i, part := range req.Parts[:len(req.Parts)-1] {
		key := directory.Part{Salt: p.Salt, ID: part.ID}
		rs.dir.ObserveSize(part.ID, part.Tokens)
		timeout := fetchTimeout(req.TargetLatency, part.Tokens)
		if old {
			timeout = min(timeout, maxOldFetchTimeout)
		}
		source, store := rs.dir.Plan(now, key, part.Tokens, timeout, p.ID)
		switch source {
		case directory.Fetch:
			p.Fetch[i] = rs.stores[store]
			p.sources = append(p.sources, "+"+store)
			p.fetchedFrom = append(p.fetchedFrom, store)
			longest = max(longest, timeout)
			p.Load.PendingPrefill -= part.Tokens
		case directory.Save:
			p.Save[i] = rs.stores[store]
			p.sources = append(p.sources, ">"+store)
		default:
			p.sources = append(p.sources, "-")
		}
	}
	if rs.clockKnown {
		p.FetchUntil = now.Add(rs.clockOffset + longest).UnixMilli()
	}
}

// fetchStopped reports whether this instance no longer fetches context of a weight
// version. Once stopped, the fetches never start again: the leader frees the context
// when all instances have stopped fetching it.
func (rs *Replicas) fetchStopped(now time.Time, model string, version int) bool {
	return version < rs.namedVersion(model) && version < rs.stopFetches(now, model, version)
}

// stopFetches stops the fetches of the context of those versions of a model that are no longer
// in use, unless that holds for none from the version from on. It returns the oldest version
// whose context this instance still fetches. An instance that has just started fetches that of
// the named version only.
func (rs *Replicas) stopFetches(now time.Time, model string, from int) int {
	oldest, named := max(rs.oldestFetched[model], 1), rs.namedVersion(model)
	switch from = max(oldest, from); {
	case from >= named:
	case now.Sub(rs.configuredAt) < startupTime:
		oldest = named
	case rs.pool.NewerShare(model, from) >= stopFetchShare:
		oldest = rs.pool.OldestInUse(model, from, named, stopFetchShare)
	}
	rs.oldestFetched[model] = oldest
	return oldest
}

// OldestFetchedVersions returns, for each model, the oldest weight version whose context
// this instance may still fetch.
func (rs *Replicas) OldestFetchedVersions(now time.Time) map[string]int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := map[string]int{}
	for model := range rs.named {
		out[model] = rs.stopFetches(now, model, 1)
	}
	return out
}

// fetchTimeout returns how long the fetch of a part may take. The target latency is 0
// if the route has none.
func fetchTimeout(targetLatency time.Duration, tokens int) time.Duration {
	if targetLatency <= 0 {
		return maxFetchTimeout
	}
	return min(maxFetchTimeout, time.Duration(fetchTargetShare*float64(targetLatency))+time.Duration(tokens)*fetchPerToken)
}

// ResponseStarted records that the first part of a request's response has arrived.
// Further calls have no effect.
func (rs *Replicas) ResponseStarted(now time.Time, p *Placement) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !p.responseStarted {
		p.responseStarted = true
		took := now.Sub(p.startedAt)
		rs.pool.ResponseStarted(now, p.ID, p.Load, took)
		if p.Version > 0 {
			rs.dir.ObserveFirstChunk(now, p.fetchedFrom, took)
		}
	}
}

// ObserveFirstEvent records that the first event of a request's response has arrived.
func (rs *Replicas) ObserveFirstEvent(now time.Time, p *Placement) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pool.ObserveFirstEvent(now, p.Choice, p.Load, now.Sub(p.startedAt))
}

// ObserveGap records the time between two events of a request's response.
func (rs *Replicas) ObserveGap(now time.Time, p *Placement, gap time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pool.ObserveGap(now, p.Choice, gap)
}

// ObserveResponse records that a request's response is complete, with its number of events.
func (rs *Replicas) ObserveResponse(now time.Time, p *Placement, events int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pool.ObserveResponse(now, p.Choice, events, p.request.Events, now.Sub(p.startedAt))
}

// End stops counting a request as in flight.
func (rs *Replicas) End(p *Placement) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !p.responseStarted {
		p.responseStarted = true
		rs.pool.EndPrefill(p.ID, p.Load)
	}
	rs.pool.End(p.ID, p.Load)
}
