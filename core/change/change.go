// Package change defines the records of the configuration stream. Operators
// append changes; instances append heartbeats and snapshots.
package change

import (
	"time"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/store"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/core/workload"
)

// Change is one confirmed plan. It is atomic: it takes effect if it is valid and
// every object that it touches still has the version that the plan was made on,
// and has no effect otherwise.
type Change struct {
	// ID is chosen when the plan is made, so that a retried append is detected.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Reason   string `json:"reason,omitempty"`
	// Made is when the plan was made.
	Made  time.Time `json:"made"`
	Steps []Step    `json:"steps"`
}

// Step sets or removes one object. Exactly one of the value fields is set for a
// put; none for a removal.
type Step struct {
	// Key is kind/name, such as account/azuay or drain/gualaceo.
	Key string `json:"key"`
	// Base is the object's version when the plan was made: the log offset of the
	// change that last touched it plus one, or 0 if it had never existed.
	Base uint64 `json:"base"`
	Value
}

// Value is the content of an object. The zero Value stands for a removed object.
type Value struct {
	Account  *account.Account   `json:"account,omitempty"`
	Work     *workload.Workload `json:"work,omitempty"`
	Upstream *upstream.Upstream `json:"upstream,omitempty"`
	Store    *store.Store       `json:"store,omitempty"`
	// Drain is true if the object drains a data centre or an upstream, so that it gets
	// no new work.
	Drain bool `json:"drain,omitempty"`
}

// Removed reports whether the value stands for a removed object.
func (v Value) Removed() bool {
	return v == Value{}
}

// Record is a record of the configuration stream: Change, Heartbeat or Snapshot.
type Record interface{ record() }

// Heartbeat lets its issuer prove the freshness of its view: once it has read the
// heartbeat back, its view is no older than the start of the append.
type Heartbeat struct {
	Issuer string `json:"issuer"`
	Seq    uint64 `json:"seq"`
}

// Snapshot repeats the configuration in force, which would otherwise expire with
// its records.
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

// Verdict is the result of a change.
type Verdict string

// The verdicts on a change.
const (
	Accepted Verdict = "accepted"
	// LostRace means that another change touched an object after the plan was made.
	LostRace Verdict = "lost-race"
	// Invalid means that a step or the resulting configuration is not valid.
	Invalid Verdict = "invalid"
)

// Outcome is the verdict on one change, with the change's audit data. It is the
// same for every reader of the stream.
type Outcome struct {
	ID      string  `json:"id"`
	Offset  uint64  `json:"offset"`
	Verdict Verdict `json:"verdict"`
	// Detail is the reason of a verdict other than Accepted.
	Detail   string    `json:"detail,omitempty"`
	Operator string    `json:"operator"`
	Reason   string    `json:"reason,omitempty"`
	Made     time.Time `json:"made"`
	Keys     []string  `json:"keys"`
}

func (Change) record()    {}
func (Heartbeat) record() {}
func (Snapshot) record()  {}
