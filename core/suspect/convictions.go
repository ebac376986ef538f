package suspect

import (
	"encoding/binary"
	"time"
)

// Conviction is a convicted content, for instances that missed its strikes.
type Conviction struct {
	Content Content `json:"content"`
	// Left is how much longer it counts.
	Left time.Duration `json:"left"`
}

// Convictions returns the contents that are refused.
func (s *Suspect) Convictions(now time.Time) []Conviction {
	var out []Conviction
	for c, rec := range s.strikes {
		if rec.convicted && now.Before(rec.until) {
			out = append(out, Conviction{c, rec.until.Sub(now)})
		}
	}
	return out
}

// Merge takes the convictions that another instance knows. They don't count for
// longer than there, however often they are told.
func (s *Suspect) Merge(now time.Time, all []Conviction) {
	for _, v := range all {
		old, known := s.strikes[v.Content]
		until := now.Add(min(v.Left, keepFor))
		if known && old.convicted && !until.After(old.until) {
			continue
		}
		if s.strikes == nil {
			s.strikes = map[Content]record{}
		}
		s.makeRoom(now)
		s.strikes[v.Content] = record{true, until}
	}
}

// Digest differs between lists with different convictions.
func (s *Suspect) Digest(now time.Time) uint64 {
	var sum uint64
	for c, rec := range s.strikes {
		if rec.convicted && now.Before(rec.until) {
			sum ^= binary.BigEndian.Uint64(c[:])
		}
	}
	return sum
}
