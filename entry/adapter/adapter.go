// Package adapter defines what an entry instance needs from the platform that
// it runs on and from the dialect of its upstreams.
package adapter

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

// ErrOffsetExpired means that the records asked for are no longer kept.
var ErrOffsetExpired = errors.New("the log no longer keeps these records")

// Topic is one of the platform's topics with a newest record for each key.
type Topic int

// The topics.
const (
	// Operations has what the operators wrote.
	Operations Topic = iota
	// Replicas has the replicas that live.
	Replicas
	// Instances has the entry instances of the system.
	Instances
)

// String names a topic for the log.
func (t Topic) String() string {
	switch t {
	case Operations:
		return "operations"
	case Replicas:
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
	// ClosedDataCentres holds the data centres that get no work.
	ClosedDataCentres map[string]bool
	// Versions has the weight version that each model is to have.
	Versions map[string]int
}

// Decoder reads the records of the topics.
type Decoder interface {
	Intent(records []topicview.Record) (Intent, error)
	Replica(now time.Time, rec topicview.Record) (pool.Replica, error)
}

// PromptPart is one part of a prompt as a request names it.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	ID  string
	Key string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	Model   string
	// Input and Output are tokens of the prompt and at most of the answer;
	// Expected is the caller's estimate of the answer's tokens, 0 if it has none.
	Input, Output, OutputHint int
	// Parts are the prompt's parts in order; the last is the request's own.
	Parts []PromptPart
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// outputDivisor is the part of the allowed answer that is used as a rule, as the
// deployments' sheets give it for all kinds.
const outputDivisor = 3

// EstimateOutput returns the number of tokens that the answer likely has.
func (a RequestInfo) EstimateOutput() int {
	if a.OutputHint > 0 {
		return min(a.OutputHint, a.Output)
	}
	return a.Output / outputDivisor
}

// ForwardInfo is what the system adds to a request that it sends to a replica.
type ForwardInfo struct {
	Replica  string
	TimeLeft time.Duration
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

// ResponseInfo is what a replica's answer says of itself.
type ResponseInfo struct {
	ID string
	// Refused answers state that the request was not run. Elsewhere is true if
	// another replica answered or the weights differ.
	Refused, Misdirected bool
	// Replica is the replica that answered, if the answer names it.
	Replica string
	// HasLoad is true if Running and Waiting are known.
	HasLoad          bool
	Running, Waiting int
	Version          int
	// KeepAlive is how long the connection may stay idle; 0 if not known.
	KeepAlive time.Duration
}

// Dialect reads and writes the headers of requests and answers.
type Dialect interface {
	ParseRequest(h http.Header) RequestInfo
	// RewriteHeaders strips what callers must not set and adds the offer.
	RewriteHeaders(h http.Header, o ForwardInfo)
	ParseResponse(status int, h http.Header) ResponseInfo
}

// LoadResult says what a replica made of an order.
type LoadResult int

// String names a result for the log.
func (r LoadResult) String() string {
	names := [...]string{"accepted", "holds", "busy", "fenced", "elsewhere", "invalid"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// The results of orders.
const (
	LoadAccepted LoadResult = iota
	LoadNotNeeded
	LoadBusy
	LoadFenced
	LoadMisdirected
	LoadInvalid
)

// LoadCommand tells a replica to load a weight version.
type LoadCommand struct {
	Replica      string
	Model        string
	Version      int
	Leader       string
	FencingToken uint64
	// KeepRunning lets running requests go on under the new weights; else they end first.
	KeepRunning bool
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

// StoreEvents are changes of what a store holds.
type StoreEvents struct {
	Epoch uint64
	// Last is the number of the newest event, also if it was lost.
	Last   uint64
	Lost   bool
	Events []directory.Event
	// ClockMillis is the replicas' clock in milliseconds; 0 if not told.
	ClockMillis int64
}

// Control calls replicas and stores beside the requests of callers.
type Control interface {
	LoadWeights(ctx context.Context, to netip.AddrPort, o LoadCommand) (LoadResult, error)
	Report(ctx context.Context, to netip.AddrPort) (Report, error)
	Events(ctx context.Context, store netip.AddrPort, after uint64, wait time.Duration) (StoreEvents, error)
	List(ctx context.Context, store netip.AddrPort) (directory.Listing, int64, error)
	Free(ctx context.Context, store netip.AddrPort, epoch uint64, parts []directory.Part) error
}
