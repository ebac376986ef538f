package upstreams

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/adapter"
)

// Expired reports whether requests may no longer begin on older weights than a
// version.
func (u *Upstreams) Expired(now time.Time, model string, version int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.oldest(now, model) >= version
}

// oldest returns the oldest weight version that requests may begin on.
func (u *Upstreams) oldest(now time.Time, model string) int {
	n := u.named[model]
	if n.version > 0 && now.Sub(n.at) >= u.Bounds.Bounds().Version-versionMargin {
		return n.version
	}
	return 0
}

// Ticket is a request's place at a replica.
type Ticket struct {
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

// Context tells for the log where each piece comes from: +STORE is fetched,
// >STORE is read and saved, - is read or in the replica's cache.
func (t *Ticket) Context() string {
	return strings.Join(t.sources, ",")
}

// Parts returns the number of shared pieces, and of those that are fetched and
// saved.
func (t *Ticket) Parts() (all, fetched, saved int) {
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

// Job is what a placement depends on beyond the pool's request.
type Job struct {
	pool.Request
	Pieces []adapter.PromptPart
	Input  int
	// Target is the time within which the first event is wanted; 0 if none.
	Target time.Duration
	// Wall is the account's name if it shares no context with others.
	Wall string
}

// Place chooses a replica and counts the request there.
func (u *Upstreams) Place(now time.Time, j Job) (*Ticket, pool.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	j.MinVersion = u.oldest(now, j.Model)
	u.findContext(now, &j)
	choice, reason := u.pool.Choose(now, j.Request)
	if reason != "" {
		return nil, reason
	}
	t := &Ticket{Choice: choice, Transport: u.link(choice.Replica).transport, began: now}
	t.Load = pool.Load{Tokens: j.Tokens, PendingPrefill: j.Input, PendingTransfer: choice.Estimate.TransferTime}
	if j.Model != "" {
		u.planContext(now, j, t)
	}
	u.pool.Begin(choice.ID, t.Load)
	return t, ""
}

// findContext notes which context stores hold, how much of it none does, and who
// reads it.
func (u *Upstreams) findContext(now time.Time, j *Job) {
	if j.Model == "" || len(j.Pieces) < 2 {
		return
	}
	salt := directory.Salt(j.Model, u.pool.NewestVersion(j.Service, j.Model), j.Wall)
	for _, piece := range j.Pieces[:len(j.Pieces)-1] {
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
func (u *Upstreams) planContext(now time.Time, j Job, t *Ticket) {
	t.Salt = directory.Salt(j.Model, t.Version, j.Wall)
	if len(j.Pieces) == 0 || len(u.stores) == 0 {
		return
	}
	if u.retiredVersion(now, j.Model, t.Version) {
		return
	}
	t.Fetch = make([]netip.AddrPort, len(j.Pieces))
	t.Save = make([]netip.AddrPort, len(j.Pieces))
	old := t.Version < u.named[j.Model].version
	longest := time.Duration(0)
	for i, piece := range j.Pieces[:len(j.Pieces)-1] {
		part := directory.Part{Salt: t.Salt, ID: piece.ID}
		u.dir.ObserveSize(piece.ID, piece.Tokens)
		limit := fetchTime(j.Target, piece.Tokens)
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
func (u *Upstreams) retiredVersion(now time.Time, model string, version int) bool {
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

// Fetched returns for each model the oldest weight version whose context this
// instance may still fetch.
func (u *Upstreams) Fetched(now time.Time) map[string]int {
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

// FirstAnswer notes the first part of a request's answer.
func (u *Upstreams) FirstAnswer(now time.Time, t *Ticket) {
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
func (u *Upstreams) End(t *Ticket) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !t.first {
		t.first = true
		u.pool.EndPrefill(t.ID, t.Load)
	}
	u.pool.End(t.ID, t.Load)
}
