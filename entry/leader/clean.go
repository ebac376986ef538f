package leader

import (
	"context"
	"math"
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/reload"
)

// usableVersion is the oldest weight version of a model whose context is of use, and
// the one that follows it once it has been so for some time.
type usableVersion struct {
	oldest, pending int
	pendingSince    time.Time
}

// cleanStores frees what stores hold of weights that no replica has any more, and
// parts whose writing broke off.
func (l *Leader) cleanStores(ctx context.Context) {
	in := l.Topics.Intent()
	now := l.Now()
	l.mu.Lock()
	_, leads := l.lease.Token(now)
	l.mu.Unlock()
	if in == nil || !leads {
		return
	}
	oldest := map[string]int{}
	for model := range in.Versions {
		engines, _ := l.engines(now, in, model)
		oldest[model] = l.oldestUsable(now, model, engines)
	}
	for name, address := range l.Replicas.StoreAddresses() {
		var parts []directory.Part
		var epoch uint64
		l.Replicas.WithDirectory(func(dir *directory.Directory) {
			epoch, _ = dir.Position(name)
			parts = dir.Stale(name, func(salt string) bool {
				model, version, ok := directory.ParseSalt(salt)
				return ok && version >= oldest[model]
			})
			parts = append(parts, dir.StalledWrites(name)...)
			dir.MarkFreed(name, parts)
		})
		if len(parts) == 0 {
			continue
		}
		err := l.Control.Free(ctx, address, epoch, parts)
		_ = l.Logger.Log("msg", "Freed context of old weights and broken parts.", "store", name, "parts", len(parts), "err", err)
	}
}

// oldestUsable returns the oldest version whose context is still of use. An older one
// is of none once no instance fetches it any more, or no replica can run it, and
// the last fetch has ended.
func (l *Leader) oldestUsable(now time.Time, model string, engines []reload.Engine) int {
	minHeld := math.MaxInt
	for _, e := range engines {
		minHeld = min(minHeld, e.Version)
	}
	if len(engines) == 0 {
		minHeld = 0
	}
	limit, wait := minHeld, freeDelay
	if peersOldest, ok := l.PeersOldestFetched(model); ok {
		if oldest := min(peersOldest, l.Replicas.OldestFetchedVersions(now)[model]); oldest > minHeld {
			limit, wait = oldest, freeDelayAfterStop
		}
	}
	r := l.usable[model]
	if limit != r.pending {
		r.pending, r.pendingSince = limit, now
	}
	if now.Sub(r.pendingSince) >= wait {
		r.oldest = limit
	}
	l.usable[model] = r
	return r.oldest
}
