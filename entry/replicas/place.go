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

// OlderVersionsExpired reports whether requests may no longer begin on older weights than a
// version.
func (rs *Replicas) OlderVersionsExpired(now time.Time, model string, version int) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.minVersion(now, model) >= version
}

// minVersion returns the oldest weight version that requests may begin on.
func (rs *Replicas) minVersion(now time.Time, model string) int {
	n := rs.named[model]
	if n.version > 0 && now.Sub(n.namedAt) >= rs.Bounds.Bounds().Version-versionMargin {
		return n.version
	}
	return 0
}

// Placement is a request's place at a replica.
type Placement struct {
	pool.Choice
	// Transport carries the request.
	Transport *http.Transport
	Salt      string
	// Fetch and Save name a store for each piece of the prompt.
	Fetch, Save []netip.AddrPort
	FetchUntil  int64
	// Load is what the request adds to the replica's load.
	Load            pool.Load
	startedAt       time.Time
	responseStarted bool
	sources         []string
	fetchedFrom     []string
}

// ContextSources tells for the log where each piece comes from: +STORE is fetched,
// >STORE is read and saved, - is read or in the replica's cache.
func (p *Placement) ContextSources() string {
	return strings.Join(p.sources, ",")
}

// PartCounts returns the number of shared pieces, and of those that are fetched and
// saved.
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

// PlacementRequest is what a placement depends on beyond the pool's request.
type PlacementRequest struct {
	pool.Request
	Parts        []adapter.PromptPart
	PromptTokens int
	// TargetLatency is the time within which the first event is wanted; 0 if none.
	TargetLatency time.Duration
	// IsolatedAccount is the account's name if it shares no context with others.
	IsolatedAccount string
}

// Place chooses a replica and counts the request there.
func (rs *Replicas) Place(now time.Time, req PlacementRequest) (*Placement, pool.Reason) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	req.MinVersion = rs.minVersion(now, req.Model)
	rs.locateContext(now, &req)
	choice, reason := rs.pool.Choose(now, req.Request)
	if reason != "" {
		return nil, reason
	}
	p := &Placement{Choice: choice, Transport: rs.connsTo(choice.Replica).transport, startedAt: now}
	p.Load = pool.Load{Tokens: req.Tokens, PendingPrefill: req.PromptTokens, PendingTransfer: choice.Estimate.TransferTime}
	if req.Model != "" {
		rs.planContext(now, req, p)
	}
	rs.pool.Begin(choice.ID, p.Load)
	return p, ""
}

// locateContext notes which context stores hold, how much of it none does, and who
// reads it.
func (rs *Replicas) locateContext(now time.Time, req *PlacementRequest) {
	if req.Model == "" || len(req.Parts) < 2 {
		return
	}
	salt := directory.Salt(req.Model, rs.pool.NewestVersion(req.Service, req.Model), req.IsolatedAccount)
	for _, piece := range req.Parts[:len(req.Parts)-1] {
		part := directory.Part{Salt: salt, ID: piece.ID}
		if store, ok := rs.dir.Locate(part, piece.Tokens); ok {
			req.Transfers = append(req.Transfers, rs.dir.Transfer(store, piece.Tokens))
			continue
		}
		req.MissingTokens += piece.Tokens
		if reader, ok := rs.dir.SavingReplica(now, part); ok {
			req.PrefillReplica = reader
		}
	}
}

// planContext chooses for each piece but the last, which is the request's own,
// where it is fetched from or saved to.
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
	old := p.Version < rs.named[req.Model].version
	longest := time.Duration(0)
	for i, piece := range req.Parts[:len(req.Parts)-1] {
		part := directory.Part{Salt: p.Salt, ID: piece.ID}
		rs.dir.ObserveSize(piece.ID, piece.Tokens)
		limit := fetchTimeout(req.TargetLatency, piece.Tokens)
		if old {
			limit = min(limit, maxOldFetchTimeout)
		}
		source, store := rs.dir.Plan(now, part, piece.Tokens, limit, p.ID)
		switch source {
		case directory.Fetch:
			p.Fetch[i] = rs.stores[store]
			p.sources = append(p.sources, "+"+store)
			p.fetchedFrom = append(p.fetchedFrom, store)
			longest = max(longest, limit)
			p.Load.PendingPrefill -= piece.Tokens
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

// fetchStopped reports whether context of a version is no longer fetched here.
// Once it is, it stays so, since others rely on it.
func (rs *Replicas) fetchStopped(now time.Time, model string, version int) bool {
	if version < rs.oldestFetched[model] {
		return true
	}
	if version >= rs.named[model].version {
		return false
	}
	if now.Sub(rs.configuredAt) >= startupTime && rs.pool.NewerShare(model, version) < stopFetchShare {
		return false
	}
	rs.oldestFetched[model] = version + 1
	return true
}

// OldestFetchedVersions returns for each model the oldest weight version whose context this
// instance may still fetch.
func (rs *Replicas) OldestFetchedVersions(now time.Time) map[string]int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := map[string]int{}
	for model, n := range rs.named {
		oldest := max(rs.oldestFetched[model], 1)
		for oldest < n.version && rs.fetchStopped(now, model, oldest) {
			oldest++
		}
		out[model] = oldest
	}
	return out
}

// fetchTimeout is how long the fetch of a part may take.
func fetchTimeout(targetLatency time.Duration, tokens int) time.Duration {
	if targetLatency <= 0 {
		return maxFetchTimeout
	}
	return min(maxFetchTimeout, time.Duration(fetchTargetShare*float64(targetLatency))+time.Duration(tokens)*fetchPerToken)
}

// ResponseStarted notes the first part of a request's answer.
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

// End gives a request's place back.
func (rs *Replicas) End(p *Placement) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !p.responseStarted {
		p.responseStarted = true
		rs.pool.EndPrefill(p.ID, p.Load)
	}
	rs.pool.End(p.ID, p.Load)
}
