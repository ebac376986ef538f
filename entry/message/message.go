// Package message defines what entry instances say to each other.
package message

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/block"
	"crocusfold.dev/core/change"
	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/order"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/quota"
	"crocusfold.dev/core/topicview"
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
	Key    order.Key      `json:"key"`
	Claim  string         `json:"claim"`
	NotRun bool           `json:"not-run"`
	Answer order.Response `json:"answer"`
}

// OrderReply answers OrderAsk and OrderEnd.
type OrderReply struct {
	Verdict order.Verdict  `json:"verdict"`
	Answer  order.Response `json:"answer"`
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
	Account string        `json:"account"`
	Want    quota.Request `json:"want"`
}

// QuotaReply answers QuotaAsk.
type QuotaReply struct {
	Lease quota.Lease `json:"lease"`
}

// Strikes shares what is known of crashing requests; answered by Ack.
type Strikes struct {
	Strikes []quarantine.Outcome `json:"strikes"`
}

// ConvictionsAsk asks for the convictions of a peer that knows others than those
// with this digest; answered by Convictions.
type ConvictionsAsk struct {
	Digest uint64 `json:"digest"`
}

// Convictions answers ConvictionsAsk.
type Convictions struct {
	Convictions []quarantine.Ban `json:"convictions"`
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
	Content quarantine.Fingerprint `json:"content"`
	ID      string                 `json:"id"`
	// Release gives the lock back.
	Release bool `json:"release"`
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
	Changes  bool               `json:"changes,omitempty"`
	Records  []topicview.Record `json:"records"`
	Next     uint64             `json:"next"`
	ProofAge time.Duration      `json:"proof-age"`
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
