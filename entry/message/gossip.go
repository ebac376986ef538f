package message

import (
	"time"

	"crocusfold.dev/core/canary"
	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/quarantine"
)

// Gossip carries the state of an instance to a peer. The response is the state of the
// peer, as a Gossip too.
type Gossip struct {
	peering.Header
	// IsLeader is true if the sender is the leader.
	IsLeader bool `cbor:"31,keyasint,omitempty"`
	// LeaderStatus is the newest status of the leader that the sender has received.
	LeaderStatus LeaderStatus `cbor:"32,keyasint"`
	// ViewStates has the states of the views of the operators' records and of the list
	// of replicas, in this order.
	ViewStates []ViewState `cbor:"33,keyasint"`
	// Loads is the work in flight of the sender and the instances that it aggregates.
	Loads LoadTable `cbor:"34,keyasint"`
	// Loaded lists the replicas whose weights changed recently.
	Loaded []ReplicaVersion `cbor:"35,keyasint,omitempty"`
	// OldestFetched has, for each model, the oldest weight version whose context may
	// still be fetched from stores by any of the instances that Loads covers.
	OldestFetched []ModelVersion `cbor:"36,keyasint,omitempty"`
	// NamedVersions has, for each model, the weight versions that intents name and that are
	// not in force everywhere yet, and the newest one before them, with the time since then.
	// Versions for which the sender does not know that time are left out.
	NamedVersions []NamedVersion `cbor:"37,keyasint,omitempty"`
	// Crashes has the crashes of replicas for each fingerprint that was running on
	// them.
	Crashes []FingerprintCrashes `cbor:"38,keyasint,omitempty"`
	// StorePositions has the positions up to which the sender has applied the
	// receiver's changes of the stores.
	StorePositions []StorePosition `cbor:"39,keyasint,omitempty"`
	// StoreChanges is the response to StorePositions.
	StoreChanges []StoreChanges `cbor:"40,keyasint,omitempty"`
	// ClockMillis is the clock of the replicas in milliseconds; 0 if not known.
	ClockMillis int64 `cbor:"41,keyasint,omitempty"`
	// Limits has the limits of replicas, also those that have ended, that changed since
	// the last changes that the receiver has acknowledged.
	Limits []ReplicaLimit `cbor:"42,keyasint,omitempty"`
	// PartCrashes has the crashes of replicas for each part of a prompt that was running
	// on them.
	PartCrashes []PartCrashes `cbor:"43,keyasint,omitempty"`
	// ViewEras has the eras of ViewStates, in the same order.
	ViewEras []ViewEra `cbor:"44,keyasint,omitempty"`
	// SoftwareVersions has the software versions of services with resumable streams that
	// served within the time VersionsCovered, for which the sender knows all of them; 0 if
	// it knows them for no time.
	SoftwareVersions []ServedVersion `cbor:"45,keyasint,omitempty"`
	VersionsCovered  time.Duration   `cbor:"46,keyasint,omitempty"`
	// AdmittedVersions has the software versions at which streams may begin, with the time
	// since each was last listed. AdmissionsLoaded is true if they are complete.
	AdmittedVersions []ServedVersion `cbor:"58,keyasint,omitempty"`
	AdmissionsLoaded bool            `cbor:"59,keyasint,omitempty"`
	// Leaving has the replicas that stated that they leave, as far as the receiver has not
	// acknowledged them.
	Leaving []LeavingReplica `cbor:"47,keyasint,omitempty"`
	// HeldBytes has the sizes of the bodies that replicas of plain services hold of the
	// requests in Loads, where requests compete for replicas.
	HeldBytes map[string]int `cbor:"56,keyasint,omitempty"`
	// Waiting has what waits for the replicas of each service at the instances that Loads
	// covers.
	Waiting []ServiceWaiting `cbor:"52,keyasint,omitempty"`
	// Rollouts has the rollouts of software versions that the sender knows, with the evidence
	// of all instances that it has heard of.
	Rollouts []Rollout `cbor:"48,keyasint,omitempty"`
	// RolloutStatuses has the newest recorded status of rollouts. RolloutsKnown is true if it
	// is complete.
	RolloutStatuses []RolloutStatus `cbor:"49,keyasint,omitempty"`
	RolloutsKnown   bool            `cbor:"50,keyasint,omitempty"`
	// Stalled has the replicas that seem to have stalled, by the sender or by others.
	Stalled []StalledReplica `cbor:"57,keyasint,omitempty"`
}

// StalledReplica is an incarnation of a replica that seems to have stalled. Age is the time since
// the last evidence.
type StalledReplica struct {
	_           struct{} `cbor:",toarray"`
	Replica     string
	Incarnation int64
	Age         time.Duration
}

// Rollout is the state of the rollout of a service.
type Rollout struct {
	_       struct{} `cbor:",toarray"`
	Service string
	State   canary.State
}

// RolloutStatus is the recorded status of a rollout; see canary.Status. Era and Offset are
// its position, and DeadlineMillis is the Unix time of its deadline, 0 if it is not known.
type RolloutStatus struct {
	_                      struct{} `cbor:",toarray"`
	Service, State, Target string
	Era, Offset            uint64
	Base                   string
	Withdrawn              []string
	DeadlineMillis         int64
}

// ServiceWaiting is the number of requests that wait for a service, and the sum of their sizes
// in tokens, or in requests for services without tokens.
type ServiceWaiting struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Count   int
	Size    int
}

// LeavingReplica is an incarnation of a replica that leaves. Age is how long the sender has
// known that.
type LeavingReplica struct {
	_           struct{} `cbor:",toarray"`
	Replica     string
	Incarnation int64
	Age         time.Duration
}

// ServedVersion is a software version of a service, and the time since it was last seen to
// serve.
type ServedVersion struct {
	_                struct{} `cbor:",toarray"`
	Service, Version string
	Age              time.Duration
}

// ReplicaLimit is the newest statement of a replica about its limit, in requests per second.
// SentAge and ReceivedAge are the ages of the request and of the response that stated it.
type ReplicaLimit struct {
	_           struct{} `cbor:",toarray"`
	Replica     string
	Incarnation int64
	Limited     bool
	Rate        float64
	SentAge     time.Duration
	ReceivedAge time.Duration
}

// LeaderStatus is the status of the leader, which instances relay to each other.
type LeaderStatus struct {
	_ struct{} `cbor:",toarray"`
	// Process identifies the process of the leader, and Stamp is the time since its
	// start and orders its statuses; Process is 0 if no status is known. Age is how
	// long ago the status was sent.
	Process uint64
	Stamp   time.Duration
	Age     time.Duration
	// Drained lists the replicas that get no new work until they hold a weight version,
	// and Loading those of them that were commanded to load it.
	Drained []ReplicaVersion
	Loading []string
}

// StorePosition is the position up to which the changes of a store were received from
// an instance. Generation and Offset are those of directory.Position.
type StorePosition struct {
	_                  struct{} `cbor:",toarray"`
	Store              string
	Generation, Offset uint64
}

// StoreChanges has the changes of the contents of a store. The fields are those of
// directory.Changes, with the salts in a table.
type StoreChanges struct {
	_                  struct{} `cbor:",toarray"`
	Store              string
	Generation, Offset uint64
	Snapshot           bool
	Epoch, Last        uint64
	// Salts are the cache salts that the events refer to by index.
	Salts  []string
	Events []StoreEvent
}

// StoreEvent is one change of a store's contents. Salt is an index into
// StoreChanges.Salts.
type StoreEvent struct {
	_       struct{} `cbor:",toarray"`
	Salt    int
	ID      string
	Tokens  int
	Removed bool
}

// ViewState is the offset up to which a topic was read, and the age of the proof that
// the view was complete; a negative age means that there is none.
type ViewState struct {
	_        struct{} `cbor:",toarray"`
	Next     uint64
	ProofAge time.Duration
	// RecoveryAge is how long ago the topic was first read after an outage, in which
	// entries may have expired; 0 if there was no outage recently.
	RecoveryAge time.Duration
}

// ViewEra is the era of a view, and the time since the log came back from a copy as that
// era; a negative age means long ago or never.
type ViewEra struct {
	_   struct{} `cbor:",toarray"`
	Era uint64
	Age time.Duration
	// HeldEra and HeldOffset are the position in an earlier era up to which the sender holds
	// the records that the log has lost.
	HeldEra, HeldOffset uint64
}

// LoadTable is the work in flight at replicas. It is stored in columns, which are
// decoded in a fraction of the time that a list of rows takes.
type LoadTable struct {
	_        struct{} `cbor:",toarray"`
	Replicas []string
	// Values has four numbers for each replica: the running requests, the tokens that
	// they need, the tokens that are not prefilled yet, and the milliseconds of the
	// outstanding transfers of context.
	Values []int
}

const loadColumns = 4

// Add appends the work in flight at a replica, with pendingTransfer rounded down to
// milliseconds.
func (t *LoadTable) Add(replica string, running, tokens, pendingPrefill int, pendingTransfer time.Duration) {
	t.Replicas = append(t.Replicas, replica)
	t.Values = append(t.Values, running, tokens, pendingPrefill, int(pendingTransfer.Milliseconds()))
}

// ForEach calls do with the work in flight at each replica. It stops at the first
// replica whose values are incomplete, as in a malformed message.
func (t *LoadTable) ForEach(do func(replica string, running, tokens, pendingPrefill int, pendingTransfer time.Duration)) {
	for i, r := range t.Replicas {
		if len(t.Values) < loadColumns*(i+1) {
			return
		}
		f := t.Values[loadColumns*i:]
		do(r, f[0], f[1], f[2], time.Duration(f[3])*time.Millisecond)
	}
}

// ReplicaVersion is a weight version of a model at a replica.
type ReplicaVersion struct {
	_       struct{} `cbor:",toarray"`
	Replica string
	Model   string
	Version int
}

// NamedVersion is a weight version that an intent names. Age is the time since it was
// first named.
type NamedVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version int
	Age     time.Duration
}

// FingerprintCrashes has the crashes of replicas that ran requests with a fingerprint.
type FingerprintCrashes struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint quarantine.Fingerprint
	Crashes     []Crash
	// ClearedAge is how long ago the last successful run was sent; negative if there
	// was none.
	ClearedAge time.Duration
}

// Crash is one crash of a replica.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// ReplicaDigest is the digest of the incarnation that crashed, and Seq numbers the
	// crashes that were recorded under it.
	ReplicaDigest uint64
	Seq           int
	Age           time.Duration
	// Retracted is true if a later response has proved that the replica is alive.
	Retracted bool
}

// PartCrashes has the crashes of replicas that ran requests with a part of a prompt.
type PartCrashes struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint quarantine.Fingerprint
	Crashes     []PartCrash
	// ClearedAge is how long ago a run with the part last succeeded; negative if none did.
	ClearedAge time.Duration
}

// PartCrash is one crash of a replica.
type PartCrash struct {
	_     struct{} `cbor:",toarray"`
	Crash Crash
	// SentAge is how long ago a run with the part was sent that the crash hit, and Request
	// the digest of its request.
	SentAge time.Duration
	Request uint64
}

// ModelVersion is a weight version of a model, reported by one or more instances.
type ModelVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version int
	// ReporterDigest is the sum of the digests of these instances.
	ReporterDigest uint64
}
