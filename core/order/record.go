package order

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies an order within its client account.
type Key [16]byte

// NewKey hashes an account and the caller's idempotency key. Both are length
// prefixed, so that two accounts never share a key.
func NewKey(account, idempotencyKey string) Key {
	h := sha256.New()
	for _, s := range []string{account, idempotencyKey} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// Shard returns the claim stream of a key, from 0 to n-1.
func (k Key) Shard(n int) int {
	return int(binary.BigEndian.Uint32(k[:4]) % uint32(n))
}

// Response is what the upstream returned for an order.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// TooLarge is true if the body was not kept.
	TooLarge bool `json:"too-large,omitempty"`
}

// Record is a record of a claim stream: Claimed or Settled.
type Record interface{ record() }

// Claimed asks for the right to run an order. The first one in log order wins.
type Claimed struct {
	Key   Key    `json:"key"`
	Claim string `json:"claim"`
}

// Settled ends a claim. With NotRun the key is free again; otherwise the answer
// is what every later asker gets.
type Settled struct {
	Key      Key      `json:"key"`
	Claim    string   `json:"claim"`
	NotRun   bool     `json:"not-run,omitempty"`
	Response Response `json:"answer"`
}

func (Claimed) record() {}
func (Settled) record() {}

// Event is an input of a Register: Asked, Finished, AppendDone, Read or Ticked.
type Event interface{ event() }

// Requested is an instance's request for a claim. Claim is unique per request.
type Requested struct {
	Key      Key
	Claim    string
	KeyTime  time.Time
	Deadline time.Time
}

// Finished is the holder's report on a claim that it was granted.
type Finished struct {
	Key      Key
	Claim    string
	NotRun   bool
	Response Response
}

// AppendDone ends the append that an Append action began. Failed means that
// nothing was written; Lost that it is not known.
type AppendDone struct {
	Failed bool
	Lost   bool
}

// Read brings the records from an offset of the claim stream.
type Read struct {
	Offset  uint64
	Time    time.Time
	Records []Record
}

// Ticked lets deadlines and the append interval pass.
type Ticked struct{}

func (Requested) event()  {}
func (Finished) event()   {}
func (AppendDone) event() {}
func (Read) event()       {}
func (Ticked) event()     {}

// Action is an output of a Register: Append or Reply.
type Action interface{ action() }

// Append writes the records to the claim stream in one call.
type Append struct{ Records []Record }

// Reply answers the request for, or the report on, a claim.
type Reply struct {
	Claim   string
	Verdict Verdict
	// Response is set with Done.
	Response Response
}

func (Append) action() {}
func (Reply) action()  {}

// Verdict says what an asker may do.
type Verdict string

// The verdicts on a request for a claim.
const (
	// Granted lets the asker run the order, once.
	Granted Verdict = "granted"
	// Done means that it ran and that the answer is known.
	Done Verdict = "done"
	// Running means that another request holds the claim and its outcome is not known.
	Running Verdict = "running"
	// Undecided means that there was no verdict in time. The asker must not run
	// the order, and can't tell whether another request did.
	Undecided Verdict = "undecided"
	// LogUnavailable means that the claim could not be recorded.
	LogUnavailable Verdict = "log-unavailable"
	// KeyTooOld means that records of the key may have expired.
	KeyTooOld Verdict = "key-too-old"
	// Full means that the register holds as many claims as it may.
	Full Verdict = "full"
	// Recorded confirms a report.
	Recorded Verdict = "recorded"
)
