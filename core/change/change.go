// Package change defines the records of the configuration stream. Operators
// append changes; instances append ticks and snapshots.
package change

import (
	"time"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/store"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/core/workload"
)

// Change is one confirmed plan. It takes effect as a whole if every object that
// it touches still has the version the plan was made on, and not at all otherwise.
type Change struct {
	// ID is chosen when the plan is made, so a retried append is recognised.
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Reason   string    `json:"reason,omitempty"`
	Made     time.Time `json:"made"`
	Steps    []Step    `json:"steps"`
}

// Step sets or removes one object. Exactly one of the value fields is set for a
// put; none for a removal.
type Step struct {
	// Key is kind/name, such as account/azuay or drain/gualaceo.
	Key string `json:"key"`
	// Base is the object's version in the plan: the log offset of the change
	// that last touched it plus one, or 0 if it did not exist.
	Base uint64 `json:"base"`
	Value
}

// Value is the content of an object; the zero Value means that it is removed.
type Value struct {
	Account  *account.Account   `json:"account,omitempty"`
	Work     *workload.Workload `json:"work,omitempty"`
	Upstream *upstream.Upstream `json:"upstream,omitempty"`
	Store    *store.Store       `json:"store,omitempty"`
	// Drain is true for a data centre or upstream that gets no new work.
	Drain bool `json:"drain,omitempty"`
}

// Removed reports whether the value stands for an absent object.
func (v Value) Removed() bool {
	return v == Value{}
}

// Record is a record of the configuration stream: Change, Tick or Snapshot.
type Record interface{ record() }

// Heartbeat proves to its issuer, on reading it back, that the issuer's view of the
// stream is no older than the moment it began the append.
type Heartbeat struct {
	Issuer string `json:"issuer"`
	Seq    uint64 `json:"seq"`
}

// Snapshot repeats what is in force, so that it outlives the log's retention.
type Snapshot struct {
	// Next is the offset of the first record that the snapshot does not include.
	Next     uint64    `json:"next"`
	Objects  []Object  `json:"objects"`
	Outcomes []Outcome `json:"outcomes"`
}

// Object is one configured object with its version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value
}

// Verdict says what became of a change.
type Verdict string

// The verdicts on a change.
const (
	Accepted Verdict = "accepted"
	LostRace Verdict = "lost-race"
	Invalid  Verdict = "invalid"
)

// Outcome is the verdict on one change, alike on every reader of the stream.
type Outcome struct {
	ID       string    `json:"id"`
	Offset   uint64    `json:"offset"`
	Verdict  Verdict   `json:"verdict"`
	Detail   string    `json:"detail,omitempty"`
	Operator string    `json:"operator"`
	Reason   string    `json:"reason,omitempty"`
	Made     time.Time `json:"made"`
	Keys     []string  `json:"keys"`
}

func (Change) record()    {}
func (Heartbeat) record() {}
func (Snapshot) record()  {}
