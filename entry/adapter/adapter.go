// Package adapter defines the interfaces that a platform implements for an entry
// instance: its log, the format of its records, the headers of its replicas, and the
// control calls to replicas and stores.
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

// ErrOffsetExpired means that the log no longer retains the requested records.
var ErrOffsetExpired = errors.New("the log no longer retains the requested records")

// Errors of PutFenced.
var (
	ErrFenced   = errors.New("a producer with a higher epoch has written")
	ErrSequence = errors.New("the sequence number is not the next one of the epoch")
)

// Topic is one of the platform's topics. Only the newest record of each key is valid.
type Topic int

// The topics.
const (
	// Operations has the operators' records: the configuration, closed data centres
	// and weight versions.
	Operations Topic = iota
	// Replicas has a record of each replica that is alive.
	Replicas
	// Instances has the records that the entry instances write: their addresses, and
	// the crashes of replicas.
	Instances
)

// String returns the name of a topic for log lines and metrics.
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

// Page is the result of a read. It may have only the first of the records that were to be
// read.
type Page struct {
	Records []topicview.Record
	// Next is the position after the records, and End that after the last record of the
	// topic as of the read.
	Next, End topicview.Position
}

// Complete reports whether the page has all records up to the end of the topic.
func (p Page) Complete() bool { return !p.Next.Before(p.End) }

// Log is the platform's log. Its topics are ordered by offset.
type Log interface {
	// Newest returns the newest record of each key, and the position from which Read
	// returns the changes since.
	Newest(ctx context.Context, t Topic) ([]topicview.Record, topicview.Position, error)
	// Read returns records from a position on. If there are none yet, it waits for one
	// for up to wait. It returns ErrOffsetExpired if the log no longer retains the first
	// of them or is in another era; the positions have the log's era then.
	Read(ctx context.Context, t Topic, from topicview.Position, wait time.Duration) (Page, error)
	// Put appends a record to the topic Instances, where it replaces the earlier one of
	// its key.
	Put(ctx context.Context, key string, value []byte) error
	// PutFenced does the same with a fencing token. It returns ErrFenced if the log has a
	// record of the producer with a higher epoch, and ErrSequence if the sequence number is
	// not the one that the log expects next in the epoch; nothing is written then.
	PutFenced(ctx context.Context, key string, value []byte, token FencingToken) error
	// Join joins the group that elects the leader, or renews the membership. The
	// membership expires after ttl. The generation is that of the last grant.
	Join(ctx context.Context, member string, ttl time.Duration, generation uint64) (lease.Grant, error)
	// Leave ends the membership.
	Leave(ctx context.Context, member string) error
}

// Journal is a topic of the instances' own, whose partitions keep all records for some
// minutes. Offsets have no gaps.
type Journal interface {
	// Append appends a record to a partition, which is created on first use.
	Append(ctx context.Context, part int, value []byte) error
	// Extent returns the position of the first record that a partition retains, and that
	// after its last one.
	Extent(ctx context.Context, part int) (first, end topicview.Position, err error)
	// Read returns records of a partition from a position on, the position after them, and
	// that after the last record of the partition. It returns ErrOffsetExpired if the
	// partition no longer retains the first of them or is in another era.
	Read(ctx context.Context, part int, from topicview.Position) (values [][]byte, next, end topicview.Position, err error)
}

// KeyedTopic is a topic of the instances' own. Only the newest record of each key is valid.
type KeyedTopic interface {
	// Newest returns the newest record of each key, and the position after the last record.
	Newest(ctx context.Context) ([]topicview.Record, topicview.Position, error)
	// Put appends a record, which replaces the earlier one of its key. One without a value
	// deletes it.
	Put(ctx context.Context, key string, value []byte) error
}

// Intent is the configuration that the operators want.
type Intent struct {
	Table *route.Table
	// ClosedDataCentres has the data centres that get no requests.
	ClosedDataCentres map[string]bool
	// Versions maps each model to the weight version that its replicas should load.
	Versions map[string]int
	// Rollouts has the rollout orders, by service.
	Rollouts map[string]RolloutOrder
	// Ignored has the records that were ignored since they are invalid.
	Ignored []IgnoredRecord
}

// IgnoredRecord is an invalid record, and what is wrong with it.
type IgnoredRecord struct {
	Record topicview.Record
	Err    error
}

// Decoder decodes the records of the topics.
type Decoder interface {
	// Newer reports whether a record is newer than a held one of the same key, by what the
	// two state. known is false if that does not tell. A record without a value is a
	// deletion.
	Newer(t Topic, held, rec topicview.Record) (newer, known bool)
	// Intent decodes all records of the topic Operations. It returns an error if
	// they have no usable configuration.
	Intent(records []topicview.Record) (Intent, error)
	// Replica decodes a record of the topic Replicas.
	Replica(now time.Time, rec topicview.Record) (pool.Replica, error)
	// RolloutStatus decodes a record of the topic Instances that has the status of a rollout;
	// ok is false if the record has none. The status of a deleted record has no state.
	RolloutStatus(rec topicview.Record) (status RolloutStatus, ok bool, err error)
	// EncodeRolloutStatus returns the record of a status.
	EncodeRolloutStatus(s RolloutStatus) (key string, value []byte, err error)
}

// PromptPart is one part of a prompt, by the id that the request gives it.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo has the properties of a caller's request that its headers state.
type RequestInfo struct {
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// Timeout is how long the caller waits for the response; 0 if not stated.
	Timeout time.Duration
	Model   string
	// PromptTokens is the number of tokens of the prompt. MaxOutputTokens is the
	// largest number of tokens that the response may have, and OutputHint the caller's
	// estimate of the number; 0 if not stated.
	PromptTokens, MaxOutputTokens, OutputHint int
	// Parts has the parts of the prompt in order. The last one is not shared with
	// other requests.
	Parts []PromptPart
	// ResumeAfter is the id of the last event that the caller has received.
	ResumeAfter string
	// Resumes is the id of the caller's request whose response had the first event of a
	// stream that the caller resumes; empty if not stated.
	Resumes string
}

// SharedParts returns the parts of the prompt that other requests may have too: all but
// the last one.
func (r RequestInfo) SharedParts() []PromptPart {
	return r.Parts[:max(0, len(r.Parts)-1)]
}

// outputDivisor is the ratio of the maximum to the usual number of response tokens. The
// descriptions of the deployments give the same ratio for all kinds.
const outputDivisor = 3

// EstimateOutput returns the expected number of tokens of the response: the caller's
// estimate, at most MaxOutputTokens, or the usual number if there is no estimate.
func (r RequestInfo) EstimateOutput() int {
	if r.OutputHint > 0 {
		return min(r.OutputHint, r.MaxOutputTokens)
	}
	return r.MaxOutputTokens / outputDivisor
}

// ForwardInfo has what is added to a request that is forwarded to a replica.
type ForwardInfo struct {
	// Replica is the id of the replica that must run the request.
	Replica string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	Account  string
	// Salt separates the cached context of models, weight versions and isolated
	// accounts.
	Salt string
	// Version is the weight version that must run the request; 0 for a request that
	// needs no model.
	Version  int
	Priority int
	// Fetch and Save have, for each part of the prompt, the address of the store to
	// fetch it from or save it to. An invalid address means none.
	Fetch, Save []netip.AddrPort
	// FetchUntil is the deadline of the fetches in milliseconds of the replicas'
	// clock; 0 if that clock is not known.
	FetchUntil int64
	// ResumeAfter replaces the id of the caller's last event; empty leaves it.
	ResumeAfter string
}

// ResponseInfo has the properties of a replica's response that its status and
// headers state.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to.
	ID string
	// Succeeded is true if the replica ran the request and it did not fail.
	Succeeded bool
	// Refused is true if the request was not run. Misdirected is true if it was
	// refused because another replica responded or the weight version differs.
	Refused, Misdirected bool
	// Replica is the id of the replica that responded; empty if not stated.
	Replica string
	// HasLoad is true if Running and Waiting are known.
	HasLoad bool
	// Running and Waiting are the numbers of requests that run and wait at the replica.
	Running, Waiting int
	// Slowdown is how many times longer than usual work takes on the replica's machine now;
	// 0 if not stated.
	Slowdown float64
	// Version is the weight version that the replica holds; 0 if not stated.
	Version int
	// Limit is the number of requests per second that the replica takes from all
	// instances together. HasLimit is false if it states none, and LimitInvalid true if it
	// states something that is no limit.
	Limit                  float64
	HasLimit, LimitInvalid bool
	// Leaving is true if the replica states that it leaves.
	Leaving bool
	// Wait is how long the replica, which turned the request away, wants no others of this
	// instance; 0 if not stated.
	Wait time.Duration
	// KeepAlive is how long the connection may stay idle; 0 if not stated.
	KeepAlive time.Duration
}

// Dialect converts the headers of requests and responses.
type Dialect interface {
	ParseRequest(h http.Header) RequestInfo
	// RewriteHeaders removes the headers that callers must not set, and sets those
	// of the forwarded request.
	RewriteHeaders(h http.Header, info ForwardInfo)
	ParseResponse(status int, h http.Header) ResponseInfo
}

// LoadResult is a replica's response to a LoadCommand.
type LoadResult int

// String returns the name of a result for log lines.
func (r LoadResult) String() string {
	names := [...]string{"accepted", "holds", "busy", "fenced", "elsewhere", "invalid"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

const (
	// LoadAccepted means that the replica will load the version.
	LoadAccepted LoadResult = iota
	// LoadNotNeeded means that the replica holds the version already.
	LoadNotNeeded
	// LoadBusy means that the replica can't accept a command now.
	LoadBusy
	// LoadFenced means that a newer leader has sent a command to the replica.
	LoadFenced
	// LoadMisdirected means that another replica responded.
	LoadMisdirected
	// LoadInvalid means that the replica rejected the command as invalid.
	LoadInvalid
)

// LoadCommand commands a replica to load a weight version.
type LoadCommand struct {
	// Replica is the id of the replica that must run the command.
	Replica string
	Model   string
	Version int
	// Leader is the instance that sends the command, FencingToken the generation of
	// its lease.
	Leader       string
	FencingToken uint64
	// KeepRunning continues running requests with the new weights; without it, the
	// replica completes them first.
	KeepRunning bool
	// Seq is the number of commands that the replica must have accepted before.
	Seq int
}

// Report is the state of a replica, some hundred milliseconds old.
type Report struct {
	// Versions maps each model that the replica holds to its weight version.
	Versions map[string]int
	Busy     bool
	// Seq is the number of commands that the replica has accepted.
	Seq int
	// Running is the number of requests that the replica runs.
	Running int
	// Incarnation is that of pool.Replica; 0 if not stated.
	Incarnation int64
	// Leaving is true if the replica states that it leaves. It is valid with an error too.
	Leaving bool
}

// StoreEvents are changes of a store's contents.
type StoreEvents struct {
	Epoch uint64
	// Last is the number of the newest event, even if that event is lost.
	Last uint64
	// Lost is true if Events is not complete.
	Lost   bool
	Events []directory.Event
	// ClockMillis is the time on the replicas' clock in milliseconds; 0 if not
	// stated.
	ClockMillis int64
}

// Control makes calls to replicas and stores that are not requests of callers.
type Control interface {
	LoadWeights(ctx context.Context, to netip.AddrPort, cmd LoadCommand) (LoadResult, error)
	Report(ctx context.Context, to netip.AddrPort) (Report, error)
	// Events returns the events after the one with the number after. If there are
	// none yet, it waits for one for up to wait.
	Events(ctx context.Context, store netip.AddrPort, after uint64, wait time.Duration) (StoreEvents, error)
	// List returns the complete contents of a store, and the time on the replicas'
	// clock in milliseconds, 0 if not stated.
	List(ctx context.Context, store netip.AddrPort) (directory.Listing, int64, error)
	// Free deletes parts from a store, if the store is still in the given epoch.
	Free(ctx context.Context, store netip.AddrPort, epoch uint64, parts []directory.Part) error
}
