package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"crocusfold.dev/core/quarantine"
)

// persistedRecord is an instance's crash record on the platform. Its times are those of
// the wall clock, which may be off by seconds. That does not matter, since crashes count
// for minutes.
type persistedRecord struct {
	Fingerprints []persistedFingerprint `json:"contents"`
}

// persistedFingerprint is a record of a whole request or, if Part is true, of a part of a
// prompt. Cleared, SentAt and Request are set for parts only.
type persistedFingerprint struct {
	Fingerprint quarantine.Fingerprint `json:"content"`
	Part        bool                   `json:"part,omitempty"`
	Crashes     []persistedCrash       `json:"ends"`
	Cleared     time.Time              `json:"cleared,omitzero"`
}

type persistedCrash struct {
	ReplicaDigest uint64    `json:"replica"`
	Seq           int       `json:"round"`
	At            time.Time `json:"at"`
	SentAt        time.Time `json:"sent,omitzero"`
	Request       uint64    `json:"request,omitempty"`
}

// write writes this instance's crash record, unless it would count the same as the last one:
// most retractions are of single crashes, which are not in it. It returns an error if the
// records on the platform are not merged yet or Put fails.
func (cr *Crashes) write(ctx context.Context) error {
	now, wall := cr.Now(), time.Now()
	cr.mu.Lock()
	loaded, records := cr.loaded, cr.breaker.ToPersist(now)
	cr.mu.Unlock()
	if !loaded {
		cr.RequestRecords()
		return fmt.Errorf("writing the crash record: the records of earlier processes are not read yet")
	}
	var p persistedRecord
	for _, rec := range records {
		stored := func(at time.Time) time.Time { return wall.Add(-now.Sub(at)) }
		c := persistedFingerprint{Fingerprint: rec.Fingerprint, Part: rec.Part}
		if rec.Part && !rec.ClearedUntil.IsZero() {
			c.Cleared = stored(rec.ClearedUntil)
		}
		for _, crash := range rec.Crashes {
			if crash.Retracted {
				continue
			}
			pc := persistedCrash{ReplicaDigest: crash.ReplicaDigest, Seq: crash.Seq, At: stored(crash.At)}
			if rec.Part {
				pc.SentAt, pc.Request = stored(crash.SentAt), crash.Request
			}
			c.Crashes = append(c.Crashes, pc)
		}
		p.Fingerprints = append(p.Fingerprints, c)
	}
	counted := p.counted()
	cr.mu.Lock()
	same := cr.written != nil && counted == *cr.written
	cr.mu.Unlock()
	if same {
		return nil
	}
	chunks, err := p.chunks()
	if err != nil {
		return err
	}
	for i := len(chunks); i < cr.chunks; i++ {
		chunks = append(chunks, nil)
	}
	for i, raw := range chunks {
		cr.chunks = max(cr.chunks, i+1)
		if err := cr.Put(ctx, i, raw); err != nil {
			return fmt.Errorf("writing the crash record: %w", err)
		}
	}
	cr.mu.Lock()
	cr.written = &counted
	cr.mu.Unlock()
	return nil
}

// maxChunkBytes bounds one record on the platform.
const maxChunkBytes = 128 << 10

// chunks returns the crash record as records that the platform takes, at least one.
func (p persistedRecord) chunks() ([][]byte, error) {
	var out [][]byte
	var chunk persistedRecord
	size := 0
	add := func() error {
		raw, err := json.Marshal(chunk)
		if err != nil {
			return fmt.Errorf("encoding the crash record: %w", err)
		}
		out, chunk, size = append(out, raw), persistedRecord{}, 0
		return nil
	}
	for _, f := range p.Fingerprints {
		raw, err := json.Marshal(f)
		if err != nil {
			return nil, fmt.Errorf("encoding the crash record: %w", err)
		}
		if size > 0 && size+len(raw) > maxChunkBytes {
			if err := add(); err != nil {
				return nil, err
			}
		}
		chunk.Fingerprints = append(chunk.Fingerprints, f)
		size += len(raw) + 1
	}
	if size > 0 || len(out) == 0 {
		if err := add(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// counted lists the crashes in the record without their times, which are computed anew from
// the clock at each write, and the time of the last success in seconds.
func (p persistedRecord) counted() string {
	lines := make([]string, 0, len(p.Fingerprints))
	for _, f := range p.Fingerprints {
		line := fmt.Sprintf("%x %d", f.Fingerprint, f.Cleared.Unix())
		for _, c := range f.Crashes {
			line += fmt.Sprintf(" %x/%d", c.ReplicaDigest, c.Seq)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
