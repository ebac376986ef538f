// Package quarantine finds requests that crash each upstream that runs them. The
// requests in flight when an upstream crashes are suspected. Suspected requests
// run on an upstream one at a time, so that a second crash can be attributed: it
// bans the request that was isolated, and a response clears it. crocus-entry uses this
// package, crocus-edge core/crashbreaker.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// recordTTL is how long a fingerprint stays suspected or banned after its last
	// crash.
	recordTTL = time.Hour
	// maxRecords bounds the suspected and banned fingerprints in memory.
	maxRecords = 10_000
)

// Fingerprint identifies what a request asks for, independent of its caller and
// its request id. It is the first half of a SHA-256 hash.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request body, which may be in pieces.
func NewFingerprint(pieces ...[]byte) Fingerprint {
	if len(pieces) == 1 {
		// A prompt may have very many parts, so that this does not allocate.
		sum := sha256.Sum256(pieces[0])
		return Fingerprint(sum[:len(Fingerprint{})])
	}
	hash := sha256.New()
	for _, piece := range pieces {
		_, _ = hash.Write(piece)
	}
	var fp Fingerprint
	copy(fp[:], hash.Sum(nil))
	return fp
}

// String returns the first 6 bytes in hexadecimal, for the log.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:6]) }

// Status says how the requests with a fingerprint may be run.
type Status int

// The statuses of a fingerprint.
const (
	// Clean requests run anywhere.
	Clean Status = iota
	// Suspected requests run one at a time on an upstream.
	Suspected
	// Banned requests are refused.
	Banned
)

// Outcome reports how a run ended: an upstream crashed with the request in flight
// or, if Cleared is true, a suspected request got its response.
type Outcome struct {
	Fingerprint Fingerprint `json:"content"`
	Upstream    string      `json:"upstream"`
	// Isolated is true if the request was the only suspected one on the upstream.
	Isolated bool `json:"isolated"`
	Cleared  bool `json:"cleared,omitempty"`
}

// Quarantine holds the suspected and the banned fingerprints. The zero value is
// empty. It is not safe for concurrent use.
type Quarantine struct {
	records map[Fingerprint]record
}

type record struct {
	banned bool
	until  time.Time
}

// Apply applies an outcome that this instance or a peer observed. Clearing does not
// lift a ban.
func (q *Quarantine) Apply(now time.Time, o Outcome) {
	if q.records == nil {
		q.records = map[Fingerprint]record{}
	}
	if o.Cleared {
		if !q.records[o.Fingerprint].banned {
			delete(q.records, o.Fingerprint)
		}
		return
	}
	q.evict(now)
	old := q.records[o.Fingerprint]
	q.records[o.Fingerprint] = record{old.banned || o.Isolated, now.Add(recordTTL)}
}

// Status returns how requests with a fingerprint may be run now.
func (q *Quarantine) Status(now time.Time, fp Fingerprint) Status {
	rec, ok := q.records[fp]
	switch {
	case !ok || !now.Before(rec.until):
		return Clean
	case rec.banned:
		return Banned
	default:
		return Suspected
	}
}

// evict makes room for one record at the limit. It deletes the expired ones or, if
// there are none, the one that expires first.
func (q *Quarantine) evict(now time.Time) {
	if len(q.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	var first time.Time
	for fp, rec := range q.records {
		if !now.Before(rec.until) {
			delete(q.records, fp)
			continue
		}
		if first.IsZero() || rec.until.Before(first) {
			oldest, first = fp, rec.until
		}
	}
	if len(q.records) >= maxRecords {
		delete(q.records, oldest)
	}
}
