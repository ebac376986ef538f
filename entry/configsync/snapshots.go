package configsync

import (
	"context"
	"time"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/shell/codec"
)

// snapshotLoop writes what is in force again before its records expire. One
// instance does so at a quarter of the retention; any reader does at a half.
func (f *Follower) snapshotLoop(ctx context.Context) {
	for pause(ctx, listInterval) {
		f.mu.Lock()
		now := time.Now()
		age := now.Sub(f.lastSnap)
		owner, _ := roster.Owner("config-snapshot", f.roster.Live(now))
		mine := owner.Name == f.Self.Name
		known := f.retention > 0 && f.ledger.Ready() && f.ledger.Next() > 0
		due := mine && (age > f.retention/4 || f.ledger.SinceSnapshot() > snapshotRecords)
		late := age > f.retention/2 && f.roster.IsReader(now)
		snap := f.ledger.Snapshot()
		f.mu.Unlock()
		if known && (due || late) {
			f.writeSnapshot(ctx, snap)
		}
	}
}

func (f *Follower) writeSnapshot(ctx context.Context, snap change.Snapshot) {
	raw, err := codec.Changes.Encode(snap)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if _, err := f.Log.Append(ctx, raw); err == nil {
		_ = f.Logger.Log("msg", "Wrote a snapshot of the configuration.", "next", snap.Next)
	}
}
