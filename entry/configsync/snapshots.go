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
		age := now.Sub(f.lastSnapshot)
		owner, _ := roster.Owner("config-snapshot", f.roster.Live(now))
		isOwner := owner.Name == f.Self.Name
		ready := f.retention > 0 && f.ledger.Ready() && f.ledger.Next() > 0
		due := isOwner && (age > f.retention/4 || f.ledger.SinceSnapshot() > maxSinceSnapshot)
		overdue := age > f.retention/2 && f.roster.IsReader(now)
		snap := f.ledger.Snapshot()
		f.mu.Unlock()
		if ready && (due || overdue) {
			f.writeSnapshot(ctx, snap)
		}
	}
}

func (f *Follower) writeSnapshot(ctx context.Context, snap change.Snapshot) {
	raw, err := codec.Changes.Encode(snap)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := f.Log.Append(ctx, raw); err == nil {
		_ = f.Logger.Log("msg", "Wrote a snapshot of the configuration.", "next", snap.Next)
	}
}
