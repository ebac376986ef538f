package replicas

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/outside"
)

// OlderVersionsExpired reports whether requests may no longer begin on older weights than a
// version.
func (u *Replicas) OlderVersionsExpired(now time.Time, model string, version int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.oldest(now, model) >= version
}

// oldest returns the oldest weight version that requests may begin on.
func (u *Replicas) oldest(now time.Time, model string) int {
	n := u.named[model]
	if n.version > 0 && now.Sub(n.at) >= u.Bounds.Bounds().Version-versionMargin {
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
	Load    pool.Load
	began   time.Time
	first   bool
	sources []string
	fetched []string
}

// ContextSources tells for the log where each piece comes from: +STORE is fetched,
// >STORE is read and saved, - is read or in the replica's cache.
func (t *Placement) ContextSources() string {
	return strings.Join(t.sources, ",")
}

// PartCounts returns the number of shared pieces, and of those that are fetched and
// saved.
func (t *Placement) PartCounts() (all, fetched, saved int) {
	for _, source := range t.sources {
		switch source[0] {
		case '+':
			fetched++
		case '>':
			saved++
		}
	}
	return len(t.sources), fetched, saved
}

// PlacementRequest is what a placement depends on beyond the pool's request.
type PlacementRequest struct {
	pool.Request
	Parts        []outside.Piece
	PromptTokens int
	// TargetLatency is the time within which the first event is wanted; 0 if none.
	TargetLatency time.Duration
	// IsolatedAccount is the account's name if it shares no context with others.
	IsolatedAccount string
}

// Place chooses a replica and counts the request there.
func (u *Replicas) Place(now time.Time, j PlacementRequest) (*Placement, pool.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	j.MinVersion = u.oldest(now, j.Model)
	u.findContext(now, &j)
	choice, reason := u.pool.Choose(now, j.Request)
	if reason != "" {
		return nil, reason
	}
	t := &Placement{Choice: choice, Transport: u.link(choice.Replica).transport, began: now}
	t.Load = pool.Load{Tokens: j.Tokens, PendingPrefill: j.PromptTokens, PendingTransfer: choice.Estimate.TransferTime}
	if j.Model != "" {
		u.planContext(now, j, t)
	}
	u.pool.Begin(choice.ID, t.Load)
	return t, ""
}

// findContext notes which context stores hold, how much of it none does, and who
// reads it.
func (u *Replicas) findContext(now time.Time, j *PlacementRequest) {
	if j.Model == "" || len(j.Parts) < 2 {
		return
	}
	salt := directory.Salt(j.Model, u.pool.NewestVersion(j.Service, j.Model), j.IsolatedAccount)
	for _, piece := range j.Parts[:len(j.Parts)-1] {
		part := directory.Part{Salt: salt, ID: piece.ID}
		if store, ok := u.dir.Locate(part, piece.Tokens); ok {
			j.Transfers = append(j.Transfers, u.dir.Transfer(store, piece.Tokens))
			continue
		}
		j.MissingTokens += piece.Tokens
		if reader, ok := u.dir.SavingReplica(now, part); ok {
			j.PrefillReplica = reader
		}
	}
}

// planContext chooses for each piece but the last, which is the request's own,
// where it is fetched from or saved to.
func (u *Replicas) planContext(now time.Time, j PlacementRequest, t *Placement) {
	t.Salt = directory.Salt(j.Model, t.Version, j.IsolatedAccount)
	if len(j.Parts) == 0 || len(u.stores) == 0 {
		return
	}
	if u.retiredVersion(now, j.Model, t.Version) {
		return
	}
	t.Fetch = make([]netip.AddrPort, len(j.Parts))
	t.Save = make([]netip.AddrPort, len(j.Parts))
	old := t.Version < u.named[j.Model].version
	longest := time.Duration(0)
	for i, piece := range j.Parts[:len(j.Parts)-1] {
		part := directory.Part{Salt: t.Salt, ID: piece.ID}
		u.dir.ObserveSize(piece.ID, piece.Tokens)
		limit := fetchTime(j.TargetLatency, piece.Tokens)
		if old {
			limit = min(limit, oldFetchLimit)
		}
		source, store := u.dir.Plan(now, part, piece.Tokens, limit, t.ID)
		switch source {
		case directory.Fetch:
			t.Fetch[i] = u.stores[store]
			t.sources = append(t.sources, "+"+store)
			t.fetched = append(t.fetched, store)
			longest = max(longest, limit)
			t.Load.PendingPrefill -= piece.Tokens
		case directory.Save:
			t.Save[i] = u.stores[store]
			t.sources = append(t.sources, ">"+store)
		default:
			t.sources = append(t.sources, "-")
		}
	}
	if u.clockKnown {
		t.FetchUntil = now.Add(u.clock + longest).UnixMilli()
	}
}

// retiredVersion reports whether context of a version is no longer fetched here.
// Once it is, it stays so, since others rely on it.
func (u *Replicas) retiredVersion(now time.Time, model string, version int) bool {
	if version < u.retired[model] {
		return true
	}
	if version >= u.named[model].version {
		return false
	}
	if now.Sub(u.started) >= learnTime && u.pool.NewerShare(model, version) < newerShare {
		return false
	}
	u.retired[model] = version + 1
	return true
}

// OldestFetchedVersions returns for each model the oldest weight version whose context this
// instance may still fetch.
func (u *Replicas) OldestFetchedVersions(now time.Time) map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := map[string]int{}
	for model, n := range u.named {
		oldest := max(u.retired[model], 1)
		for oldest < n.version && u.retiredVersion(now, model, oldest) {
			oldest++
		}
		out[model] = oldest
	}
	return out
}

// fetchTime is how long the fetch of a part may take.
func fetchTime(target time.Duration, tokens int) time.Duration {
	if target <= 0 {
		return fetchLimit
	}
	return min(fetchLimit, time.Duration(fetchShare*float64(target))+time.Duration(tokens)*fetchPerToken)
}

// ResponseStarted notes the first part of a request's answer.
func (u *Replicas) ResponseStarted(now time.Time, t *Placement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !t.first {
		t.first = true
		took := now.Sub(t.began)
		u.pool.ResponseStarted(now, t.ID, t.Load, took)
		if t.Version > 0 {
			u.dir.ObserveFirstChunk(now, t.fetched, took)
		}
	}
}

// End gives a request's place back.
func (u *Replicas) End(t *Placement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !t.first {
		t.first = true
		u.pool.EndPrefill(t.ID, t.Load)
	}
	u.pool.End(t.ID, t.Load)
}
