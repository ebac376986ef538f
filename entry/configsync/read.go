package configsync

import (
	"context"
	"fmt"
	"time"

	"crocusfold.dev/core/change"
	"crocusfold.dev/shell/codec"
)

// readsLog reports whether this instance must read the log itself: it is one of its
// data centre's readers, or has no proof, or its newest one is older than
// maxRelayedProofAge.
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

// logReadState logs the first failed read and the first successful one after failures.
func (f *Follower) logReadState(err error) {
	switch {
	case err != nil && !f.readFailing:
		_ = f.Logger.Log("msg", "Reading the configuration stream failed.", "err", err)
	case err == nil && f.readFailing:
		_ = f.Logger.Log("msg", "The configuration stream can be read again.")
	}
	f.readFailing = err != nil
}

// readOnce reads the records after the ledger's last one and applies them. It waits up
// to readWait if there are none.
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

// skip moves the ledger to the oldest record of the log. A ledger that fell behind the
// log's retention loses its state and waits for a snapshot; the view stays in force
// until a complete one replaces it. The caller holds mu.
func (f *Follower) skip(oldest uint64) {
	if err := f.ledger.Skip(oldest); err != nil {
		_ = f.Logger.Log("msg", "Records of the configuration expired before they were read; waiting for a snapshot.", "err", err)
		f.ledger.Reset()
		f.builtRevision = 0
		_ = f.ledger.Skip(oldest)
	}
	f.recent = nil
}

// apply applies the raw record at an offset; one before the ledger's next offset is
// ignored. It returns an error if records before it are missing, or if there are too
// many before the first snapshot. The caller holds mu.
func (f *Follower) apply(offset uint64, raw []byte) error {
	if offset < f.ledger.Next() {
		return nil
	}
	rec, err := codec.Changes.Decode(raw)
	if err != nil {
		// It is applied as an empty heartbeat record. Every reader does so, and thus
		// all reach the same state.
		_ = f.Logger.Log("msg", "Skipped a record that can't be decoded.", "offset", offset, "err", err)
		rec = change.Heartbeat{}
	}
	out, err := f.ledger.Apply(offset, rec)
	if err != nil {
		return fmt.Errorf("replaying the configuration stream: %w", err)
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

// recordProof records that the view was complete when the append of a heartbeat record
// of this process began, since every earlier record has been read too. Earlier
// heartbeat records are no longer needed. The caller holds mu.
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

// addRecent adds a raw record to the buffer for peers, which holds consecutive records:
// a gap before the record empties it. Above twice recentRecords, the oldest
// recentRecords are dropped. The caller holds mu.
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
