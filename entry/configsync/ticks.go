package configsync

import (
	"context"
	"time"

	"crocusfold.dev/core/change"
	"crocusfold.dev/shell/codec"
)

func (f *Follower) heartbeatLoop(ctx context.Context) {
	for first := true; first || pause(ctx, heartbeatInterval); first = false {
		if f.appendsHeartbeats(time.Now()) {
			f.appendHeartbeat(ctx)
		}
	}
}

// appendsHeartbeats reports whether this instance must prove its view by ticks of its
// own: it speaks for its data centre, or the speaker's word is late.
func (f *Follower) appendsHeartbeats(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.freshness.ProofAge(now)
	return f.roster.IsPrimaryReader(now) || age < 0 || age > maxRelayedProofAge
}

func (f *Follower) appendHeartbeat(ctx context.Context) {
	f.mu.Lock()
	f.heartbeatSeq++
	seq := f.heartbeatSeq
	f.heartbeats[seq] = time.Now()
	for old := range f.heartbeats {
		if old+10 < seq {
			delete(f.heartbeats, old)
		}
	}
	f.mu.Unlock()
	raw, err := codec.Changes.Encode(change.Heartbeat{Issuer: f.issuer, Seq: seq})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = f.Log.Append(ctx, raw)
}
