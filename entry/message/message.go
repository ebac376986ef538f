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

// ReportQuery asks for a Report.
type ReportQuery struct{}

// Report answers a Heartbeat.
type Report struct {
	freshness.Report
	Leaving bool `json:"leaving"`
}

// RecordsNotice says that the sender has read records up to Next; answered by Ack.
type RecordsNotice struct {
	Next uint64 `json:"next"`
}

// ConfigRequest asks for the configuration from an offset; answered by Records or by
// a Copy if the records are no longer at hand.
type ConfigRequest struct {
	From uint64 `json:"from"`
}

// ConfigRecords holds raw records of the configuration stream.
type ConfigRecords struct {
	From uint64   `json:"from"`
	Raw  [][]byte `json:"raw"`
}

// ConfigSnapshot holds the configuration in force.
type ConfigSnapshot struct {
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

// ClaimRequest asks the owner of a claim stream for a claim; answered by OrderReply.
type ClaimRequest struct {
	Key   order.Key `json:"key"`
	Claim string    `json:"claim"`
	// KeyTime is when the caller made the key; zero if not known.
	KeyTime time.Time `json:"key-time"`
	// Wait is the time that the asker has left.
	Wait time.Duration `json:"wait"`
}

// ClaimReport reports the end of a claim; answered by OrderReply.
type ClaimReport struct {
	Key      order.Key      `json:"key"`
	Claim    string         `json:"claim"`
	NotRun   bool           `json:"not-run"`
	Response order.Response `json:"answer"`
}

// ClaimResponse answers OrderAsk and OrderEnd.
type ClaimResponse struct {
	Verdict  order.Verdict  `json:"verdict"`
	Response order.Response `json:"answer"`
}

// PermitRequest asks an upstream's sponsor for a permit; answered by PermitReply.
type PermitRequest struct {
	Upstream  string `json:"upstream"`
	ID        string `json:"id"`
	Suspected bool   `json:"suspect"`
}

// PermitResponse answers PermitAsk.
type PermitResponse struct {
	Granted bool `json:"ok"`
}

// PermitRelease gives a permit back; answered by Ack.
type PermitRelease struct {
	Upstream string `json:"upstream"`
	ID       string `json:"id"`
}

// MarkCold tells a sponsor that an upstream failed as a cold one does.
type MarkCold struct {
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

// QuotaRequest asks an account's owner for a lease; answered by QuotaReply.
type QuotaRequest struct {
	Account string        `json:"account"`
	Request quota.Request `json:"want"`
}

// QuotaResponse answers QuotaAsk.
type QuotaResponse struct {
	Lease quota.Lease `json:"lease"`
}

// CrashOutcomes shares what is known of crashing requests; answered by Ack.
type CrashOutcomes struct {
	Outcomes []quarantine.Outcome `json:"strikes"`
}

// BansRequest asks for the convictions of a peer that knows others than those
// with this digest; answered by Convictions.
type BansRequest struct {
	Digest uint64 `json:"digest"`
}

// Bans answers ConvictionsAsk.
type Bans struct {
	Bans []quarantine.Ban `json:"convictions"`
}

// CachedBlocksRequest asks an upstream's sponsor how many leading blocks it is believed to
// hold; answered by HeldReply.
type CachedBlocksRequest struct {
	Upstream string      `json:"upstream"`
	Keys     []block.Key `json:"keys"`
}

// CachedBlocksResponse answers HeldAsk.
type CachedBlocksResponse struct {
	Blocks int `json:"blocks"`
}

// FingerprintLock asks the owner of a content to be the only one that runs it;
// answered by PermitReply.
type FingerprintLock struct {
	Fingerprint quarantine.Fingerprint `json:"content"`
	ID          string                 `json:"id"`
	// Release gives the lock back.
	Release bool `json:"release"`
}

// ViewRequest asks for the records of a topic that changed since an offset, 0 for
// all; answered by ViewCopy.
type ViewRequest struct {
	Topic int    `json:"topic"`
	From  uint64 `json:"from,omitempty"`
}

// ViewResponse holds the records of a topic.
type ViewResponse struct {
	// Incremental is true if Records are only those that changed.
	Incremental bool               `json:"changes,omitempty"`
	Records     []topicview.Record `json:"records"`
	Next        uint64             `json:"next"`
	ProofAge    time.Duration      `json:"proof-age"`
}

func (Gossip) message()               {}
func (ViewRequest) message()          {}
func (ViewResponse) message()         {}
func (Ack) message()                  {}
func (ReportQuery) message()          {}
func (Report) message()               {}
func (RecordsNotice) message()        {}
func (ConfigRequest) message()        {}
func (ConfigRecords) message()        {}
func (ConfigSnapshot) message()       {}
func (StatusQuery) message()          {}
func (Status) message()               {}
func (ClaimRequest) message()         {}
func (ClaimReport) message()          {}
func (ClaimResponse) message()        {}
func (PermitRequest) message()        {}
func (PermitResponse) message()       {}
func (PermitRelease) message()        {}
func (MarkCold) message()             {}
func (Loads) message()                {}
func (QuotaRequest) message()         {}
func (QuotaResponse) message()        {}
func (CrashOutcomes) message()        {}
func (BansRequest) message()          {}
func (Bans) message()                 {}
func (CachedBlocksRequest) message()  {}
func (CachedBlocksResponse) message() {}
func (FingerprintLock) message()      {}
func (LoadPermit) message()           {}

// Codec writes messages as CBOR.
var Codec = codec.NewUnion(
	codec.Case(1, func(m Ack) Message { return m }),
	codec.Case(2, func(m ReportQuery) Message { return m }),
	codec.Case(3, func(m Report) Message { return m }),
	codec.Case(4, func(m RecordsNotice) Message { return m }),
	codec.Case(5, func(m ConfigRequest) Message { return m }),
	codec.Case(6, func(m ConfigRecords) Message { return m }),
	codec.Case(7, func(m ConfigSnapshot) Message { return m }),
	codec.Case(8, func(m StatusQuery) Message { return m }),
	codec.Case(9, func(m Status) Message { return m }),
	codec.Case(10, func(m ClaimRequest) Message { return m }),
	codec.Case(11, func(m ClaimReport) Message { return m }),
	codec.Case(12, func(m ClaimResponse) Message { return m }),
	codec.Case(13, func(m PermitRequest) Message { return m }),
	codec.Case(14, func(m PermitResponse) Message { return m }),
	codec.Case(15, func(m PermitRelease) Message { return m }),
	codec.Case(16, func(m MarkCold) Message { return m }),
	codec.Case(17, func(m Loads) Message { return m }),
	codec.Case(18, func(m QuotaRequest) Message { return m }),
	codec.Case(19, func(m QuotaResponse) Message { return m }),
	codec.Case(20, func(m CrashOutcomes) Message { return m }),
	codec.Case(21, func(m CachedBlocksRequest) Message { return m }),
	codec.Case(22, func(m CachedBlocksResponse) Message { return m }),
	codec.Case(23, func(m FingerprintLock) Message { return m }),
	codec.Case(24, func(m LoadPermit) Message { return m }),
	codec.Case(25, func(m Gossip) Message { return m }),
	codec.Case(26, func(m ViewRequest) Message { return m }),
	codec.Case(27, func(m ViewResponse) Message { return m }),
	codec.Case(28, func(m BansRequest) Message { return m }),
	codec.Case(29, func(m Bans) Message { return m }),
)
