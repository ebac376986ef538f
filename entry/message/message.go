// Package message defines what entry instances say to each other.
package message

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/block"
	"crocusfold.dev/core/change"
	"crocusfold.dev/core/feed"
	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/neighbours"
	"crocusfold.dev/core/order"
	"crocusfold.dev/core/quota"
	"crocusfold.dev/core/suspect"
	"crocusfold.dev/shell/codec"
)

// Message is one of the types below. Requests name the type of their answer.
type Message interface{ message() }

// Ack answers requests that need no more.
type Ack struct{}

// Heartbeat asks for a Report.
type Heartbeat struct{}

// Report answers a Heartbeat.
type Report struct {
	freshness.Report
	Leaving bool `json:"leaving"`
}

// Nudge says that the sender has read records up to Next; answered by Ack.
type Nudge struct {
	Next uint64 `json:"next"`
}

// Fetch asks for the configuration from an offset; answered by Records or by
// a Copy if the records are no longer at hand.
type Fetch struct {
	From uint64 `json:"from"`
}

// Records holds raw records of the configuration stream.
type Records struct {
	From uint64   `json:"from"`
	Raw  [][]byte `json:"raw"`
}

// Copy holds the configuration in force.
type Copy struct {
	Snapshot change.Snapshot `json:"snapshot"`
}

// StatusQuery asks for a Status.
type StatusQuery struct{}

// Status says what an instance has in force.
type Status struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Offset     uint64 `json:"offset"`
	View       string `json:"view"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving"`
}

// OrderAsk asks the owner of a claim stream for a claim; answered by OrderReply.
type OrderAsk struct {
	Key   order.Key `json:"key"`
	Claim string    `json:"claim"`
	// KeyTime is when the caller made the key; zero if not known.
	KeyTime time.Time `json:"key-time"`
	// Wait is the time that the asker has left.
	Wait time.Duration `json:"wait"`
}

// OrderEnd reports the end of a claim; answered by OrderReply.
type OrderEnd struct {
	Key    order.Key    `json:"key"`
	Claim  string       `json:"claim"`
	NotRun bool         `json:"not-run"`
	Answer order.Answer `json:"answer"`
}

// OrderReply answers OrderAsk and OrderEnd.
type OrderReply struct {
	Verdict order.Verdict `json:"verdict"`
	Answer  order.Answer  `json:"answer"`
}

// PermitAsk asks an upstream's sponsor for a permit; answered by PermitReply.
type PermitAsk struct {
	Upstream string `json:"upstream"`
	ID       string `json:"id"`
	Suspect  bool   `json:"suspect"`
}

// PermitReply answers PermitAsk.
type PermitReply struct {
	OK bool `json:"ok"`
}

// PermitEnd gives a permit back; answered by Ack.
type PermitEnd struct {
	Upstream string `json:"upstream"`
	ID       string `json:"id"`
}

// Chill tells a sponsor that an upstream failed as a cold one does.
type Chill struct {
	Upstream string `json:"upstream"`
}

// LoadPermit asks to load weights on an engine, or gives the permit back;
// answered by PermitReply.
type LoadPermit struct {
	Upstream string `json:"upstream"`
	Release  bool   `json:"release"`
}

// Loads shares what a sponsor knows of its upstreams; answered by Ack.
type Loads struct {
	// Start and Seq number the messages of one run of the sponsor. A message
	// that is not Full counts only right after the one before it.
	Start int64  `json:"start"`
	Seq   uint64 `json:"seq"`
	// Full is true if Loads has all upstreams of the sponsor, not only those
	// that changed.
	Full  bool   `json:"full"`
	Loads []Load `json:"loads"`
}

// Load is the state of one upstream. Its names are hashed, since a sponsor
// sends many loads to many instances.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Upstream and Incarnation are made by Digest.
	Upstream    uint64
	Incarnation uint64
	// Version is the digest of the weight version; 0 for a plain service.
	Version uint64
	Running int
	// BacklogMillis is the computation that waited at the report.
	BacklogMillis int
	Warm          bool
}

// Digest hashes a name for a Load.
func Digest(name string) uint64 { return xxhash.Sum64String(name) }

// QuotaAsk asks an account's owner for a lease; answered by QuotaReply.
type QuotaAsk struct {
	Account string     `json:"account"`
	Want    quota.Want `json:"want"`
}

// QuotaReply answers QuotaAsk.
type QuotaReply struct {
	Lease quota.Lease `json:"lease"`
}

// Strikes shares what is known of crashing requests; answered by Ack.
type Strikes struct {
	Strikes []suspect.Strike `json:"strikes"`
}

// ConvictionsAsk asks for the convictions of a peer that knows others than those
// with this digest; answered by Convictions.
type ConvictionsAsk struct {
	Digest uint64 `json:"digest"`
}

// Convictions answers ConvictionsAsk.
type Convictions struct {
	Convictions []suspect.Conviction `json:"convictions"`
}

// HeldAsk asks an upstream's sponsor how many leading blocks it is believed to
// hold; answered by HeldReply.
type HeldAsk struct {
	Upstream string      `json:"upstream"`
	Keys     []block.Key `json:"keys"`
}

// HeldReply answers HeldAsk.
type HeldReply struct {
	Blocks int `json:"blocks"`
}

// ContentLock asks the owner of a content to be the only one that runs it;
// answered by PermitReply.
type ContentLock struct {
	Content suspect.Content `json:"content"`
	ID      string          `json:"id"`
	// Release gives the lock back.
	Release bool `json:"release"`
}

// Gossip tells an instance's state to another, which answers with its own.
type Gossip struct {
	neighbours.Hello
	// Holder is true if the sender holds the duties.
	Holder bool `cbor:"31,keyasint,omitempty"`
	// Duty is what the holder of the duties said last, as far as the sender knows.
	Duty HolderWord `cbor:"32,keyasint"`
	// Views are those of the operators' records and of the list of replicas.
	Views []ViewState `cbor:"33,keyasint"`
	// Loads is the work in flight of those for whom the sender speaks.
	Loads LoadTable `cbor:"34,keyasint"`
	// Loaded lists the replicas whose weights changed lately.
	Loaded []ReplicaVersion `cbor:"35,keyasint,omitempty"`
	// Fetches has for each model the oldest weight version whose context may still
	// be fetched from stores, for the same instances as Loads.
	Fetches []ModelVersion `cbor:"36,keyasint,omitempty"`
	// Named has the newest weight version of each model, and how long ago it was
	// named.
	Named []NamedVersion `cbor:"37,keyasint,omitempty"`
	// Ends has the requests that were running when replicas ended.
	Ends []ContentEnds `cbor:"38,keyasint,omitempty"`
	// Positions says how far the sender has followed the receiver's stores.
	Positions []StorePosition `cbor:"39,keyasint,omitempty"`
	// Stores answers Positions.
	Stores []StoreChanges `cbor:"40,keyasint,omitempty"`
	// Clock is the clock of the replicas in milliseconds; 0 if not known.
	Clock int64 `cbor:"41,keyasint,omitempty"`
}

// HolderWord is what the holder of the duties said, as it is passed on.
type HolderWord struct {
	_ struct{} `cbor:",toarray"`
	// Process and Stamp tell the words of a holder apart; Process is 0 if none is
	// known. Age is how long ago the word was said.
	Process uint64
	Stamp   time.Duration
	Age     time.Duration
	// Out lists the replicas that get no new work until they hold a weight version,
	// and Ordered those of them that were ordered to load.
	Out     []ReplicaVersion
	Ordered []string
}

// StorePosition is how far the changes of a store were taken from an instance.
type StorePosition struct {
	_        struct{} `cbor:",toarray"`
	Store    string
	Run, End uint64
}

// StoreChanges is what happened to the contents of a store.
type StoreChanges struct {
	_           struct{} `cbor:",toarray"`
	Store       string
	Run, End    uint64
	Whole       bool
	Epoch, Last uint64
	// Salts are those that the events name by their index.
	Salts  []string
	Events []StoreEvent
}

// StoreEvent is one change of a store's contents.
type StoreEvent struct {
	_      struct{} `cbor:",toarray"`
	Salt   int
	ID     string
	Tokens int
	Gone   bool
}

// ViewState says how far a topic was read and how old the proof is that it was
// complete; a negative age means that there is none.
type ViewState struct {
	_        struct{} `cbor:",toarray"`
	Next     uint64
	ProofAge time.Duration
	// ReturnAge is how long ago the topic was first read after an outage, in which
	// entries may have lapsed; 0 if that is long ago.
	ReturnAge time.Duration
}

// LoadTable is the work in flight at replicas, in columns, which are read in a
// fraction of the time of rows.
type LoadTable struct {
	_        struct{} `cbor:",toarray"`
	Replicas []string
	// Figures has four numbers for each replica: the running requests, the tokens that
	// they need, the tokens that are not read yet, and the milliseconds of the
	// transfers of context that they wait for.
	Figures []int
}

const loadColumns = 4

// Add adds the work at a replica.
func (t *LoadTable) Add(replica string, running, tokens, reading int, moving time.Duration) {
	t.Replicas = append(t.Replicas, replica)
	t.Figures = append(t.Figures, running, tokens, reading, int(moving.Milliseconds()))
}

// All calls do with each replica's work. What is missing in a table is left out.
func (t *LoadTable) All(do func(replica string, running, tokens, reading int, moving time.Duration)) {
	for i, r := range t.Replicas {
		if len(t.Figures) < loadColumns*(i+1) {
			return
		}
		f := t.Figures[loadColumns*i:]
		do(r, f[0], f[1], f[2], time.Duration(f[3])*time.Millisecond)
	}
}

// ReplicaVersion is the weight version of a model at a replica.
type ReplicaVersion struct {
	_       struct{} `cbor:",toarray"`
	Replica string
	Model   string
	Version int
}

// NamedVersion is a weight version and how long ago it was named.
type NamedVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version int
	Age     time.Duration
}

// ContentEnds has the ends of replicas that ran a content.
type ContentEnds struct {
	_       struct{} `cbor:",toarray"`
	Content suspect.Content
	Ends    []ReplicaEnd
	// ClearedAge is how long ago the last run began that was answered with success;
	// negative if there was none.
	ClearedAge time.Duration
}

// ReplicaEnd is one end of a replica.
type ReplicaEnd struct {
	_ struct{} `cbor:",toarray"`
	// Replica is the digest of the replica's incarnation, and Round tells its ends
	// apart.
	Replica uint64
	Round   int
	Age     time.Duration
	// Void is true if the replica has proved since that it lives.
	Void bool
}

// ModelVersion is a weight version of a model, as some instances told it.
type ModelVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version int
	// Tellers is the sum of the digests of the instances that told.
	Tellers uint64
}

// ViewAsk asks for the records of a topic that changed since an offset, 0 for
// all; answered by ViewCopy.
type ViewAsk struct {
	Topic int    `json:"topic"`
	From  uint64 `json:"from,omitempty"`
}

// ViewCopy holds the records of a topic.
type ViewCopy struct {
	// Changes is true if Records are only those that changed.
	Changes  bool          `json:"changes,omitempty"`
	Records  []feed.Record `json:"records"`
	Next     uint64        `json:"next"`
	ProofAge time.Duration `json:"proof-age"`
}

func (Gossip) message()         {}
func (ViewAsk) message()        {}
func (ViewCopy) message()       {}
func (Ack) message()            {}
func (Heartbeat) message()      {}
func (Report) message()         {}
func (Nudge) message()          {}
func (Fetch) message()          {}
func (Records) message()        {}
func (Copy) message()           {}
func (StatusQuery) message()    {}
func (Status) message()         {}
func (OrderAsk) message()       {}
func (OrderEnd) message()       {}
func (OrderReply) message()     {}
func (PermitAsk) message()      {}
func (PermitReply) message()    {}
func (PermitEnd) message()      {}
func (Chill) message()          {}
func (Loads) message()          {}
func (QuotaAsk) message()       {}
func (QuotaReply) message()     {}
func (Strikes) message()        {}
func (ConvictionsAsk) message() {}
func (Convictions) message()    {}
func (HeldAsk) message()        {}
func (HeldReply) message()      {}
func (ContentLock) message()    {}
func (LoadPermit) message()     {}

// Codec writes messages as CBOR.
var Codec = codec.NewUnion(
	codec.Case(1, func(m Ack) Message { return m }),
	codec.Case(2, func(m Heartbeat) Message { return m }),
	codec.Case(3, func(m Report) Message { return m }),
	codec.Case(4, func(m Nudge) Message { return m }),
	codec.Case(5, func(m Fetch) Message { return m }),
	codec.Case(6, func(m Records) Message { return m }),
	codec.Case(7, func(m Copy) Message { return m }),
	codec.Case(8, func(m StatusQuery) Message { return m }),
	codec.Case(9, func(m Status) Message { return m }),
	codec.Case(10, func(m OrderAsk) Message { return m }),
	codec.Case(11, func(m OrderEnd) Message { return m }),
	codec.Case(12, func(m OrderReply) Message { return m }),
	codec.Case(13, func(m PermitAsk) Message { return m }),
	codec.Case(14, func(m PermitReply) Message { return m }),
	codec.Case(15, func(m PermitEnd) Message { return m }),
	codec.Case(16, func(m Chill) Message { return m }),
	codec.Case(17, func(m Loads) Message { return m }),
	codec.Case(18, func(m QuotaAsk) Message { return m }),
	codec.Case(19, func(m QuotaReply) Message { return m }),
	codec.Case(20, func(m Strikes) Message { return m }),
	codec.Case(21, func(m HeldAsk) Message { return m }),
	codec.Case(22, func(m HeldReply) Message { return m }),
	codec.Case(23, func(m ContentLock) Message { return m }),
	codec.Case(24, func(m LoadPermit) Message { return m }),
	codec.Case(25, func(m Gossip) Message { return m }),
	codec.Case(26, func(m ViewAsk) Message { return m }),
	codec.Case(27, func(m ViewCopy) Message { return m }),
	codec.Case(28, func(m ConvictionsAsk) Message { return m }),
	codec.Case(29, func(m Convictions) Message { return m }),
)
