package configsync

import (
	"context"
	"time"

	"crocusfold.dev/core/change"
	"crocusfold.dev/shell/codec"
)

func (f *Follower) tickLoop(ctx context.Context) {
	for first := true; first || pause(ctx, tickInterval); first = false {
		if f.appendsTicks(time.Now()) {
			f.tick(ctx)
		}
	}
}

// appendsTicks reports whether this instance must prove its view by ticks of its
// own: it speaks for its data centre, or the speaker's word is late.
func (f *Follower) appendsTicks(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.fresh.ProofAge(now)
	return f.roster.IsPrimaryReader(now) || age < 0 || age > relayStale
}

func (f *Follower) tick(ctx context.Context) {
	f.mu.Lock()
	f.tickSeq++
	seq := f.tickSeq
	f.ticks[seq] = time.Now()
	for old := range f.ticks {
		if old+10 < seq {
			delete(f.ticks, old)
		}
	}
	f.mu.Unlock()
	raw, err := codec.Changes.Encode(change.Heartbeat{Issuer: f.tickID, Seq: seq})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, _ = f.Log.Append(ctx, raw)
}
