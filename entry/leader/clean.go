package leader

import (
	"context"
	"math"
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/reload"
)

// retired is the oldest weight version of a model whose context is of use, and
// the one that follows it once it has been so for some time.
type retired struct {
	oldest, next int
	since        time.Time
}

// clean frees what stores hold of weights that no replica has any more, and
// parts whose writing broke off.
func (d *Leader) clean(ctx context.Context) {
	in := d.Topics.Intent()
	now := d.Now()
	d.mu.Lock()
	_, held := d.lease.Token(now)
	d.mu.Unlock()
	if in == nil || !held {
		return
	}
	wanted := map[string]int{}
	for model := range in.Versions {
		engines, _ := d.engines(now, in, model)
		wanted[model] = d.oldest(now, model, engines)
	}
	for name, address := range d.Replicas.StoreAddresses() {
		var parts []directory.Part
		var epoch uint64
		d.Replicas.WithDirectory(func(dir *directory.Directory) {
			epoch, _ = dir.Position(name)
			parts = dir.Stale(name, func(salt string) bool {
				model, version, ok := directory.ParseSalt(salt)
				return ok && version >= wanted[model]
			})
			parts = append(parts, dir.StalledWrites(name)...)
			dir.MarkFreed(name, parts)
		})
		if len(parts) == 0 {
			continue
		}
		err := d.Control.Free(ctx, address, epoch, parts)
		_ = d.Logger.Log("msg", "Freed context of old weights and broken parts.", "store", name, "parts", len(parts), "err", err)
	}
}

// oldest returns the oldest version whose context is still of use. An older one
// is of none once no instance fetches it any more, or no replica can run it, and
// the last fetch has ended.
func (d *Leader) oldest(now time.Time, model string, engines []reload.Engine) int {
	held := math.MaxInt
	for _, e := range engines {
		held = min(held, e.Version)
	}
	if len(engines) == 0 {
		held = 0
	}
	limit, wait := held, freeAfter
	if told, ok := d.PeersOldestFetched(model); ok {
		if oldest := min(told, d.Replicas.OldestFetchedVersions(now)[model]); oldest > held {
			limit, wait = oldest, freeAfterStop
		}
	}
	r := d.retired[model]
	if limit != r.next {
		r.next, r.since = limit, now
	}
	if now.Sub(r.since) >= wait {
		r.oldest = limit
	}
	d.retired[model] = r
	return r.oldest
}
