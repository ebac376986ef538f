// Package suspect finds requests that crash each upstream that runs them.
// Requests in flight when an upstream dies are suspects. A suspect runs again
// only by itself among suspects; a second death convicts it, an answer clears it.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Bounds of the list.
const (
	// keepFor is how long a strike counts.
	keepFor = time.Hour
	// maxSuspects bounds the memory for strikes.
	maxSuspects = 10_000
)

// Content identifies what a request asks for, whoever sends it under whatever id.
type Content [16]byte

// NewContent hashes the body of a request.
func NewContent(body []byte) Content {
	sum := sha256.Sum256(body)
	var c Content
	copy(c[:], sum[:])
	return c
}

// String is the start of the hash, for the log.
func (c Content) String() string { return hex.EncodeToString(c[:6]) }

// Standing says how a request may be run.
type Standing int

// The standings of a content.
const (
	// Innocent contents run anywhere.
	Innocent Standing = iota
	// Suspected contents run one at a time on an upstream.
	Suspected
	// Convicted contents are refused.
	Convicted
)

// Strike reports one upstream death with the content in flight.
type Strike struct {
	Content  Content `json:"content"`
	Upstream string  `json:"upstream"`
	// Isolated is true if the content ran as the only suspect.
	Isolated bool `json:"isolated"`
	// Cleared is true for the opposite: a suspect was answered.
	Cleared bool `json:"cleared,omitempty"`
}

// Suspect holds the strikes. The zero value is empty. It is not safe for
// concurrent use.
type Suspect struct {
	strikes map[Content]record
}

type record struct {
	convicted bool
	until     time.Time
}

// Apply takes a strike, from this instance or a peer.
func (s *Suspect) Apply(now time.Time, st Strike) {
	if s.strikes == nil {
		s.strikes = map[Content]record{}
	}
	if st.Cleared {
		if !s.strikes[st.Content].convicted {
			delete(s.strikes, st.Content)
		}
		return
	}
	s.makeRoom(now)
	old := s.strikes[st.Content]
	s.strikes[st.Content] = record{old.convicted || st.Isolated, now.Add(keepFor)}
}

// Standing returns how a content may be run now.
func (s *Suspect) Standing(now time.Time, c Content) Standing {
	rec, ok := s.strikes[c]
	switch {
	case !ok || !now.Before(rec.until):
		return Innocent
	case rec.convicted:
		return Convicted
	default:
		return Suspected
	}
}

func (s *Suspect) makeRoom(now time.Time) {
	if len(s.strikes) < maxSuspects {
		return
	}
	var oldest Content
	var first time.Time
	for c, rec := range s.strikes {
		if !now.Before(rec.until) {
			delete(s.strikes, c)
			continue
		}
		if first.IsZero() || rec.until.Before(first) {
			oldest, first = c, rec.until
		}
	}
	if len(s.strikes) >= maxSuspects {
		delete(s.strikes, oldest)
	}
}
