// Package message defines the messages between entry instances and their encoding.
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

// Message is one of the messages of this package. The doc comment of a request names
// the type of its response.
type Message interface{ message() }

// Ack is the response to requests that need no data in return.
type Ack struct{}

// ReportQuery requests a Report.
type ReportQuery struct{}

// Report is the response to ReportQuery.
type Report struct {
	freshness.Report
	Leaving bool `json:"leaving"`
}

// RecordsNotice reports that the sender has read the configuration records before the
// offset Next; the response is Ack.
type RecordsNotice struct {
	Next uint64 `json:"next"`
}

// ConfigRequest requests the configuration records from an offset on; the response is
// ConfigRecords, or ConfigSnapshot if the peer no longer keeps them.
type ConfigRequest struct {
	From uint64 `json:"from"`
}

// ConfigRecords holds encoded records of the configuration stream, the first of them at
// offset From.
type ConfigRecords struct {
	From uint64   `json:"from"`
	Raw  [][]byte `json:"raw"`
}

// ConfigSnapshot holds the complete configuration in force.
type ConfigSnapshot struct {
	Snapshot change.Snapshot `json:"snapshot"`
}

// StatusQuery requests a Status.
type StatusQuery struct{}

// Status reports which configuration an instance has in force, and whether it serves.
type Status struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Offset     uint64 `json:"offset"`
	// View is the freshness status of the configuration as text, or "unreachable" if
	// the instance did not respond.
	View    string `json:"view"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
}

// ClaimRequest requests a claim from the owner of its claim stream; the response is
// ClaimResponse.
type ClaimRequest struct {
	Key   order.Key `json:"key"`
	Claim string    `json:"claim"`
	// KeyTime is when the caller created the key; zero if not known.
	KeyTime time.Time `json:"key-time"`
	// Wait is how much longer the requester waits for the response.
	Wait time.Duration `json:"wait"`
}

// ClaimReport reports how the run under a claim ended; the response is ClaimResponse.
type ClaimReport struct {
	Key      order.Key      `json:"key"`
	Claim    string         `json:"claim"`
	NotRun   bool           `json:"not-run"`
	Response order.Response `json:"answer"`
}

// ClaimResponse is the response to ClaimRequest and ClaimReport.
type ClaimResponse struct {
	Verdict  order.Verdict  `json:"verdict"`
	Response order.Response `json:"answer"`
}

// PermitRequest requests a permit for one request to an upstream from the controller of
// the upstream; the response is PermitResponse.
type PermitRequest struct {
	Upstream  string `json:"upstream"`
	ID        string `json:"id"`
	Suspected bool   `json:"suspect"`
}

// PermitResponse is the response to PermitRequest, LoadPermit and FingerprintLock.
type PermitResponse struct {
	Granted bool `json:"ok"`
}

// PermitRelease returns a permit; the response is Ack.
type PermitRelease struct {
	Upstream string `json:"upstream"`
	ID       string `json:"id"`
}

// MarkCold reports to the controller of an upstream that the upstream failed in the way
// a cold one does, by refusing or breaking a connection; the response is Ack.
type MarkCold struct {
	Upstream string `json:"upstream"`
}

// LoadPermit requests a permit to load weights on an engine or, with Release, returns
// it; the response is PermitResponse.
type LoadPermit struct {
	Upstream string `json:"upstream"`
	Release  bool   `json:"release"`
}

// Loads reports the loads of the upstreams that the sender controls; the response is
// Ack.
type Loads struct {
	// Start identifies the process of the sender, later processes having a higher
	// number, and Seq numbers its messages. A message without Full is applied only if
	// no message was missed since the last one with Full.
	Start int64  `json:"start"`
	Seq   uint64 `json:"seq"`
	// Full is true if Loads has all upstreams that the sender controls, not only
	// those that changed.
	Full  bool   `json:"full"`
	Loads []Load `json:"loads"`
}

// Load is the state of one upstream. Names are replaced by their digests to keep the
// message small, since a controller sends many loads to many instances.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Upstream and Incarnation are results of Digest.
	Upstream    uint64
	Incarnation uint64
	// Version is the digest of the weight version; 0 for an upstream without weights.
	Version uint64
	Running int
	// BacklogMillis is the computing time of the work that was queued when the upstream
	// reported its load.
	BacklogMillis int
	Warm          bool
}

// Digest returns the hash of a name for use in a Load.
func Digest(name string) uint64 { return xxhash.Sum64String(name) }

// QuotaRequest requests a quota lease from the owner of an account; the response is
// QuotaResponse.
type QuotaRequest struct {
	Account string        `json:"account"`
	Request quota.Request `json:"want"`
}

// QuotaResponse is the response to QuotaRequest.
type QuotaResponse struct {
	Lease quota.Lease `json:"lease"`
}

// CrashOutcomes reports which requests were in flight when an upstream crashed, and
// which suspected requests got a response; the response is Ack.
type CrashOutcomes struct {
	Outcomes []quarantine.Outcome `json:"strikes"`
}

// BansRequest requests the bans of a peer if their digest differs from this one; the
// response is Bans.
type BansRequest struct {
	Digest uint64 `json:"digest"`
}

// Bans is the response to BansRequest. It is empty if the digests are equal.
type Bans struct {
	Bans []quarantine.Ban `json:"convictions"`
}

// CachedBlocksRequest asks the controller of an upstream for the number of leading
// blocks that the upstream is believed to have cached; the response is
// CachedBlocksResponse.
type CachedBlocksRequest struct {
	Upstream string      `json:"upstream"`
	Keys     []block.Key `json:"keys"`
}

// CachedBlocksResponse is the response to CachedBlocksRequest.
type CachedBlocksResponse struct {
	Blocks int `json:"blocks"`
}

// FingerprintLock requests, from the owner of a fingerprint, the lock that allows one
// request with it to run at a time; the response is PermitResponse.
type FingerprintLock struct {
	Fingerprint quarantine.Fingerprint `json:"content"`
	ID          string                 `json:"id"`
	// Release is true to return the lock.
	Release bool `json:"release"`
}

// ViewRequest requests the records of a topic that changed since an offset, or all
// records if From is 0; the response is ViewResponse.
type ViewRequest struct {
	Topic int    `json:"topic"`
	From  uint64 `json:"from,omitempty"`
	// Era is the era of the offset.
	Era uint64 `json:"era,omitempty"`
}

// ViewResponse holds records of a topic, up to the offset Next, and the age of the
// proof that the view was complete; a negative age means that there is none.
type ViewResponse struct {
	// Incremental is true if Records has only the records, deletions included, that
	// changed since the requested offset. Otherwise it is the complete view.
	Incremental bool               `json:"changes,omitempty"`
	Records     []topicview.Record `json:"records"`
	Next        uint64             `json:"next"`
	ProofAge    time.Duration      `json:"proof-age"`
	// Era is the era of Next. Unless Incremental is true, Held has the records that the log
	// has lost, up to the offset HeldOffset of the earlier era HeldEra.
	Era        uint64             `json:"era,omitempty"`
	Held       []topicview.Record `json:"held,omitempty"`
	HeldEra    uint64             `json:"held-era,omitempty"`
	HeldOffset uint64             `json:"held-offset,omitempty"`
}

// GrantRequest requests the grant of one request to a replica that states a limit, from
// one of the grantors of its limit; the response is GrantResponse.
type GrantRequest struct {
	_           struct{} `cbor:",toarray"`
	Replica     string
	Incarnation int64
	// Rate is the limit that the sender knows.
	Rate     float64
	Priority int
	// Charge is true if the request is sent in any case and only has to be counted.
	Charge bool
}

// GrantResponse is the response to GrantRequest. If Granted is false, Wait is the time
// after which the request is to be repeated.
type GrantResponse struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	Wait    time.Duration
}

// StreamOrigins has the software versions that began streams, for an instance that keeps
// them; the response is Ack.
type StreamOrigins struct {
	Origins []StreamOrigin `json:"origins"`
	// Unverified has those whose replica may have started again since its entry was proven.
	Unverified []UnverifiedOrigin `json:"unverified,omitempty"`
}

// UnverifiedOrigin is an origin that holds if the connection on which the stream began leads
// to the listed incarnation of its replica. Age is how long ago that connection was opened.
type UnverifiedOrigin struct {
	_ struct{} `cbor:",toarray"`
	StreamOrigin
	Replica     string
	Incarnation int64
	Age         time.Duration
}

// StreamOrigin is the service and the software version that began a stream. Request is the
// digest of the id of the request that began it.
type StreamOrigin struct {
	_                struct{} `cbor:",toarray"`
	Request          uint64
	Service, Version string
}

// StreamQuery requests the origin of a stream; the response is StreamOriginResponse.
type StreamQuery struct {
	Request uint64 `json:"request"`
}

// StreamOriginResponse is the response to StreamQuery.
type StreamOriginResponse struct {
	Known   bool   `json:"known"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
}

func (StreamOrigins) message()        {}
func (StreamQuery) message()          {}
func (StreamOriginResponse) message() {}
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
func (GrantRequest) message()         {}
func (GrantResponse) message()        {}

// Codec encodes messages as CBOR, each with the number given here. The numbers are part
// of the wire format.
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
	codec.Case(30, func(m GrantRequest) Message { return m }),
	codec.Case(31, func(m GrantResponse) Message { return m }),
	codec.Case(32, func(m StreamOrigins) Message { return m }),
	codec.Case(33, func(m StreamQuery) Message { return m }),
	codec.Case(34, func(m StreamOriginResponse) Message { return m }),
)
