package quarantine

import (
	"encoding/binary"
	"time"
)

// Ban is a convicted content, for instances that missed its strikes.
type Ban struct {
	Fingerprint Fingerprint `json:"content"`
	// Remaining is how much longer it counts.
	Remaining time.Duration `json:"left"`
}

// Bans returns the contents that are refused.
func (s *Quarantine) Bans(now time.Time) []Ban {
	var out []Ban
	for c, rec := range s.records {
		if rec.banned && now.Before(rec.until) {
			out = append(out, Ban{c, rec.until.Sub(now)})
		}
	}
	return out
}

// Merge takes the convictions that another instance knows. They don't count for
// longer than there, however often they are told.
func (s *Quarantine) Merge(now time.Time, all []Ban) {
	for _, v := range all {
		old, known := s.records[v.Fingerprint]
		until := now.Add(min(v.Remaining, recordTTL))
		if known && old.banned && !until.After(old.until) {
			continue
		}
		if s.records == nil {
			s.records = map[Fingerprint]record{}
		}
		s.evict(now)
		s.records[v.Fingerprint] = record{true, until}
	}
}

// Digest differs between lists with different convictions.
func (s *Quarantine) Digest(now time.Time) uint64 {
	var sum uint64
	for c, rec := range s.records {
		if rec.banned && now.Before(rec.until) {
			sum ^= binary.BigEndian.Uint64(c[:])
		}
	}
	return sum
}
