package quarantine

import (
	"encoding/binary"
	"time"
)

// Ban is a banned fingerprint, for instances that missed the outcomes behind it.
type Ban struct {
	Fingerprint Fingerprint `json:"content"`
	// Remaining is the time until the ban expires.
	Remaining time.Duration `json:"left"`
}

// Bans returns the bans in force.
func (q *Quarantine) Bans(now time.Time) []Ban {
	var out []Ban
	for fp, rec := range q.records {
		if rec.banned && now.Before(rec.until) {
			out = append(out, Ban{fp, rec.until.Sub(now)})
		}
	}
	return out
}

// Merge adds the bans of another instance. They expire no later than there,
// however often they are merged, and don't shorten a ban that is known here.
func (q *Quarantine) Merge(now time.Time, bans []Ban) {
	for _, b := range bans {
		old, known := q.records[b.Fingerprint]
		until := now.Add(min(b.Remaining, recordTTL))
		if known && old.banned && !until.After(old.until) {
			continue
		}
		if q.records == nil {
			q.records = map[Fingerprint]record{}
		}
		q.evict(now)
		q.records[b.Fingerprint] = record{true, until}
	}
}

// Digest returns a hash of the banned fingerprints, which two instances compare to
// find out whether their bans differ.
func (q *Quarantine) Digest(now time.Time) uint64 {
	var sum uint64
	for fp, rec := range q.records {
		if rec.banned && now.Before(rec.until) {
			sum ^= binary.BigEndian.Uint64(fp[:])
		}
	}
	return sum
}
