// Package quarantine finds requests that crash each upstream that runs them.
// Requests in flight when an upstream dies are suspects. A suspect runs again
// only by itself among suspects; a second death convicts it, an answer clears it.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Bounds of the list.
const (
	// recordTTL is how long a strike counts.
	recordTTL = time.Hour
	// maxRecords bounds the memory for strikes.
	maxRecords = 10_000
)

// Fingerprint identifies what a request asks for, whoever sends it under whatever id.
type Fingerprint [16]byte

// NewFingerprint hashes the body of a request.
func NewFingerprint(body []byte) Fingerprint {
	sum := sha256.Sum256(body)
	var c Fingerprint
	copy(c[:], sum[:])
	return c
}

// String is the start of the hash, for the log.
func (c Fingerprint) String() string { return hex.EncodeToString(c[:6]) }

// Status says how a request may be run.
type Status int

// The standings of a content.
const (
	// Clean contents run anywhere.
	Clean Status = iota
	// Suspected contents run one at a time on an upstream.
	Suspected
	// Banned contents are refused.
	Banned
)

// Outcome reports one upstream death with the content in flight.
type Outcome struct {
	Fingerprint Fingerprint `json:"content"`
	Upstream    string      `json:"upstream"`
	// Isolated is true if the content ran as the only suspect.
	Isolated bool `json:"isolated"`
	// Cleared is true for the opposite: a suspect was answered.
	Cleared bool `json:"cleared,omitempty"`
}

// Quarantine holds the strikes. The zero value is empty. It is not safe for
// concurrent use.
type Quarantine struct {
	records map[Fingerprint]record
}

type record struct {
	banned bool
	until  time.Time
}

// Apply takes a strike, from this instance or a peer.
func (s *Quarantine) Apply(now time.Time, st Outcome) {
	if s.records == nil {
		s.records = map[Fingerprint]record{}
	}
	if st.Cleared {
		if !s.records[st.Fingerprint].banned {
			delete(s.records, st.Fingerprint)
		}
		return
	}
	s.evict(now)
	old := s.records[st.Fingerprint]
	s.records[st.Fingerprint] = record{old.banned || st.Isolated, now.Add(recordTTL)}
}

// Status returns how a content may be run now.
func (s *Quarantine) Status(now time.Time, c Fingerprint) Status {
	rec, ok := s.records[c]
	switch {
	case !ok || !now.Before(rec.until):
		return Clean
	case rec.banned:
		return Banned
	default:
		return Suspected
	}
}

func (s *Quarantine) evict(now time.Time) {
	if len(s.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	var first time.Time
	for c, rec := range s.records {
		if !now.Before(rec.until) {
			delete(s.records, c)
			continue
		}
		if first.IsZero() || rec.until.Before(first) {
			oldest, first = c, rec.until
		}
	}
	if len(s.records) >= maxRecords {
		delete(s.records, oldest)
	}
}
