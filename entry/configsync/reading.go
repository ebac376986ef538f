package configsync

import (
	"context"
	"fmt"
	"time"

	"crocusfold.dev/core/change"
	"crocusfold.dev/shell/codec"
)

// readsLog reports whether this instance must read the log itself: it is one
// of its data centre's readers, or the readers' word is late.
func (f *Follower) readsLog(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.freshness.ProofAge(now)
	return f.roster.IsReader(now) || age < 0 || age > maxRelayedProofAge
}

func (f *Follower) readLoop(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		if !f.readsLog(time.Now()) {
			pause(ctx, initialBackoff)
			continue
		}
		began := time.Now()
		err := f.readOnce(ctx)
		f.logReadState(err)
		if err == nil {
			backoff = initialBackoff
			pause(ctx, readInterval-time.Since(began))
			continue
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// logReadState logs when reading begins to fail and when it works again.
func (f *Follower) logReadState(err error) {
	switch {
	case err != nil && !f.readFailing:
		_ = f.Logger.Log("msg", "Reading the configuration stream failed.", "err", err)
	case err == nil && f.readFailing:
		_ = f.Logger.Log("msg", "The configuration stream can be read again.")
	}
	f.readFailing = err != nil
}

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	from := f.ledger.Next()
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readWait+callTimeout)
	defer cancel()
	page, err := f.Log.Read(ctx, from, readWait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retention = page.Retention
	if page.Oldest > f.ledger.Next() {
		f.skip(page.Oldest)
	}
	for _, rec := range page.Records {
		if err := f.apply(rec.Offset, rec.Data); err != nil {
			return err
		}
	}
	f.publish()
	return nil
}

// skip starts again at the oldest record. A ledger that fell behind the log's
// retention forgets its state; the view stays until a complete one replaces it.
func (f *Follower) skip(oldest uint64) {
	if err := f.ledger.Skip(oldest); err != nil {
		_ = f.Logger.Log("msg", "The configuration expired before it was read; waiting for a snapshot.", "err", err)
		f.ledger.Reset()
		f.builtRevision = 0
		_ = f.ledger.Skip(oldest)
	}
	f.recent = nil
}

// apply takes one raw record. The caller holds mu.
func (f *Follower) apply(offset uint64, raw []byte) error {
	if offset < f.ledger.Next() {
		return nil
	}
	rec, err := codec.Changes.Decode(raw)
	if err != nil {
		// Every reader skips a record that can't be read, so all stay alike.
		_ = f.Logger.Log("msg", "Skipped a record that can't be read.", "offset", offset, "err", err)
		rec = change.Heartbeat{}
	}
	out, err := f.ledger.Apply(offset, rec)
	if err != nil {
		return fmt.Errorf("following the configuration stream: %w", err)
	}
	f.addRecent(offset, raw)
	switch rec := rec.(type) {
	case change.Heartbeat:
		f.recordProof(rec)
	case change.Snapshot:
		f.lastSnapshot = time.Now()
	case change.Change:
		_ = f.Logger.Log("msg", "Read a change.", "id", rec.ID, "offset", offset, "verdict", out.Verdict, "detail", out.Detail)
	}
	return nil
}

func (f *Follower) recordProof(h change.Heartbeat) {
	appendedAt, ok := f.heartbeats[h.Seq]
	if !ok || h.Issuer != f.issuer {
		return
	}
	f.freshness.RecordProof(appendedAt)
	for seq := range f.heartbeats {
		if seq <= h.Seq {
			delete(f.heartbeats, seq)
		}
	}
}

func (f *Follower) addRecent(offset uint64, raw []byte) {
	if f.recentFrom+uint64(len(f.recent)) != offset {
		f.recent = nil
	}
	if len(f.recent) == 0 {
		f.recentFrom = offset
	}
	f.recent = append(f.recent, raw)
	if len(f.recent) > 2*recentRecords {
		f.recent = append([][]byte(nil), f.recent[recentRecords:]...)
		f.recentFrom += recentRecords
	}
}
