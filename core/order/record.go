package order

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies an order within its client account.
type Key [16]byte

// NewKey hashes an account and the caller's idempotency key. Both are
// length-prefixed, so that no two pairs hash the same bytes and two accounts never
// share a key.
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
	// TooLarge is true if the body was too large to be stored and is left out.
	TooLarge bool `json:"too-large,omitempty"`
}

// Record is a record of a claim stream, Claimed or Settled.
type Record interface{ record() }

// Claimed requests the right to run an order. The first claim on a key in log
// order wins.
type Claimed struct {
	Key   Key    `json:"key"`
	Claim string `json:"claim"`
}

// Settled ends a claim. If NotRun is true, the key can be claimed again;
// otherwise later requests for the key get the response.
type Settled struct {
	Key      Key      `json:"key"`
	Claim    string   `json:"claim"`
	NotRun   bool     `json:"not-run,omitempty"`
	Response Response `json:"answer"`
}

func (Claimed) record() {}
func (Settled) record() {}

// Event is an input of a Registry: Requested, Finished, AppendDone, Read or Ticked.
type Event interface{ event() }

// Requested is an instance's request for a claim. Claim is unique per request.
type Requested struct {
	Key   Key
	Claim string
	// KeyTime is when the caller made the key; zero means unknown.
	KeyTime time.Time
	// Deadline is when the registry stops waiting for the log and replies Running
	// or LogUnavailable.
	Deadline time.Time
}

// Finished is a holder's report on the claim that it was granted.
type Finished struct {
	Key      Key
	Claim    string
	NotRun   bool
	Response Response
}

// AppendDone ends the append that an Append action started. Failed means that
// nothing was written, Lost that it is unknown whether anything was or will be.
type AppendDone struct {
	Failed bool
	Lost   bool
}

// Read delivers records of the claim stream. Offset is that of the first one, and
// Time the log's time of the records.
type Read struct {
	Offset  uint64
	Time    time.Time
	Records []Record
}

// Ticked reports that time has passed, for the deadlines and the append interval.
type Ticked struct{}

func (Requested) event()  {}
func (Finished) event()   {}
func (AppendDone) event() {}
func (Read) event()       {}
func (Ticked) event()     {}

// Action is an output of a Registry, Append or Reply.
type Action interface{ action() }

// Append requests that the records are appended to the claim stream in one call.
type Append struct{ Records []Record }

// Reply is the reply to the request for a claim or to the report on it.
type Reply struct {
	Claim   string
	Verdict Verdict
	// Response is set if Verdict is Done.
	Response Response
}

func (Append) action() {}
func (Reply) action()  {}

// Verdict is the result of a request for a claim or of a report.
type Verdict string

// The verdicts. Only Granted permits the requester to run the order.
const (
	// Granted permits the requester to run the order once.
	Granted Verdict = "granted"
	// Done means that the order ran and its response is recorded.
	Done Verdict = "done"
	// Running means that another request holds the claim and its outcome is not known.
	Running Verdict = "running"
	// Undecided means that there was no verdict in time. The requester must not run
	// the order, and it is not known whether another request did.
	Undecided Verdict = "undecided"
	// LogUnavailable means that the claim could not be recorded.
	LogUnavailable Verdict = "log-unavailable"
	// KeyTooOld means that records of the key may have expired, or that its time
	// lies too far ahead.
	KeyTooOld Verdict = "key-too-old"
	// Full means that the registry holds as many claims or queued records as it may.
	Full Verdict = "full"
	// Recorded confirms that a report is in the log.
	Recorded Verdict = "recorded"
)
