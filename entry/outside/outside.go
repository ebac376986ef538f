// Package outside defines what an entry instance needs from the platform that
// it runs on and from the dialect of its upstreams.
package outside

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/route"
	"crocusfold.dev/core/topicview"
)

// ErrForgotten means that the records asked for are no longer kept.
var ErrForgotten = errors.New("the log no longer keeps these records")

// Topic is one of the platform's topics with a newest record for each key.
type Topic int

// The topics.
const (
	// Operations has what the operators wrote.
	Operations Topic = iota
	// Upstreams has the replicas that live.
	Upstreams
	// Instances has the entry instances of the system.
	Instances
)

// String names a topic for the log.
func (t Topic) String() string {
	switch t {
	case Operations:
		return "operations"
	case Upstreams:
		return "upstreams"
	case Instances:
		return "instances"
	}
	return "unknown"
}

// Log is the platform's log.
type Log interface {
	// Newest returns the newest record of each key, and the offset from which
	// changes of that view can be read.
	Newest(ctx context.Context, t Topic) ([]topicview.Record, uint64, error)
	// Read returns the records from an offset on and the offset after them. It
	// waits up to wait for the first. The error may be ErrForgotten.
	Read(ctx context.Context, t Topic, from uint64, wait time.Duration) ([]topicview.Record, uint64, error)
	// Put writes the newest record of a key in the topic Instances.
	Put(ctx context.Context, key string, value []byte) error
	// Join renews this instance's membership of the group that shares duties.
	Join(ctx context.Context, member string, ttl time.Duration, generation uint64) (lease.Grant, error)
	// Leave gives up the membership.
	Leave(ctx context.Context, member string) error
}

// Intent is what the operators ask for.
type Intent struct {
	Table *route.Table
	// Closed holds the data centres that get no work.
	Closed map[string]bool
	// Versions has the weight version that each model is to have.
	Versions map[string]int
}

// Decoder reads the records of the topics.
type Decoder interface {
	Intent(records []topicview.Record) (Intent, error)
	Replica(now time.Time, rec topicview.Record) (pool.Replica, error)
}

// Piece is one part of a prompt as a request names it.
type Piece struct {
	ID     string
	Tokens int
}

// Ask is what a caller's request says of itself.
type Ask struct {
	ID  string
	Key string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	Model    string
	// Input and Output are tokens of the prompt and at most of the answer;
	// Expected is the caller's estimate of the answer's tokens, 0 if it has none.
	Input, Output, Expected int
	// Pieces are the prompt's parts in order; the last is the request's own.
	Pieces []Piece
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// usualAnswer is the part of the allowed answer that is used as a rule, as the
// deployments' sheets give it for all kinds.
const usualAnswer = 3

// Answer returns the number of tokens that the answer likely has.
func (a Ask) Answer() int {
	if a.Expected > 0 {
		return min(a.Expected, a.Output)
	}
	return a.Output / usualAnswer
}

// Offer is what the system adds to a request that it sends to a replica.
type Offer struct {
	Replica  string
	Left     time.Duration
	Account  string
	Salt     string
	Version  int
	Priority int
	// Fetch and Save name a store for each piece; an invalid address is none.
	Fetch, Save []netip.AddrPort
	// FetchUntil is on the replicas' clock, in milliseconds; 0 if not known.
	FetchUntil int64
	// ResumeAfter replaces the caller's last event, if it is not empty.
	ResumeAfter string
}

// Reply is what a replica's answer says of itself.
type Reply struct {
	ID string
	// Refused answers state that the request was not run. Elsewhere is true if
	// another replica answered or the weights differ.
	Refused, Elsewhere bool
	// Replica is the replica that answered, if the answer names it.
	Replica string
	// Loaded is true if Running and Waiting are known.
	Loaded           bool
	Running, Waiting int
	Version          int
	// KeepAlive is how long the connection may stay idle; 0 if not known.
	KeepAlive time.Duration
}

// Dialect reads and writes the headers of requests and answers.
type Dialect interface {
	Ask(h http.Header) Ask
	// Prepare strips what callers must not set and adds the offer.
	Prepare(h http.Header, o Offer)
	Reply(status int, h http.Header) Reply
}

// OrderResult says what a replica made of an order.
type OrderResult int

// String names a result for the log.
func (r OrderResult) String() string {
	names := [...]string{"accepted", "holds", "busy", "fenced", "elsewhere", "invalid"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// The results of orders.
const (
	OrderAccepted OrderResult = iota
	OrderHolds
	OrderBusy
	OrderFenced
	OrderElsewhere
	OrderInvalid
)

// Order tells a replica to load a weight version.
type Order struct {
	Replica string
	Model   string
	Version int
	Holder  string
	Fence   uint64
	// Keep lets running requests go on under the new weights; else they end first.
	Keep bool
	// Seq is the number of orders that the replica must have accepted before.
	Seq int
}

// Report is a replica's state, some hundred milliseconds old.
type Report struct {
	Versions map[string]int
	Busy     bool
	Seq      int
	Running  int
}

// Events are changes of what a store holds.
type Events struct {
	Epoch uint64
	// Last is the number of the newest event, also if it was lost.
	Last   uint64
	Lost   bool
	Events []directory.Event
	// Clock is the replicas' clock in milliseconds; 0 if not told.
	Clock int64
}

// Control calls replicas and stores beside the requests of callers.
type Control interface {
	Order(ctx context.Context, to netip.AddrPort, o Order) (OrderResult, error)
	Report(ctx context.Context, to netip.AddrPort) (Report, error)
	Events(ctx context.Context, store netip.AddrPort, after uint64, wait time.Duration) (Events, error)
	List(ctx context.Context, store netip.AddrPort) (directory.Listing, int64, error)
	Free(ctx context.Context, store netip.AddrPort, epoch uint64, parts []directory.Part) error
}
