package message

import (
	"time"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/quarantine"
)

// Gossip tells an instance's state to another, which answers with its own.
type Gossip struct {
	peering.Header
	// IsLeader is true if the sender holds the duties.
	IsLeader bool `cbor:"31,keyasint,omitempty"`
	// LeaderStatus is what the holder of the duties said last, as far as the sender knows.
	LeaderStatus LeaderStatus `cbor:"32,keyasint"`
	// ViewStates are those of the operators' records and of the list of replicas.
	ViewStates []ViewState `cbor:"33,keyasint"`
	// Loads is the work in flight of those for whom the sender speaks.
	Loads LoadTable `cbor:"34,keyasint"`
	// Loaded lists the replicas whose weights changed lately.
	Loaded []ReplicaVersion `cbor:"35,keyasint,omitempty"`
	// OldestFetched has for each model the oldest weight version whose context may still
	// be fetched from stores, for the same instances as Loads.
	OldestFetched []ModelVersion `cbor:"36,keyasint,omitempty"`
	// NamedVersions has the newest weight version of each model, and how long ago it was
	// named.
	NamedVersions []NamedVersion `cbor:"37,keyasint,omitempty"`
	// Crashes has the requests that were running when replicas ended.
	Crashes []FingerprintCrashes `cbor:"38,keyasint,omitempty"`
	// StorePositions says how far the sender has followed the receiver's stores.
	StorePositions []StorePosition `cbor:"39,keyasint,omitempty"`
	// StoreChanges answers Positions.
	StoreChanges []StoreChanges `cbor:"40,keyasint,omitempty"`
	// ClockMillis is the clock of the replicas in milliseconds; 0 if not known.
	ClockMillis int64 `cbor:"41,keyasint,omitempty"`
}

// LeaderStatus is what the holder of the duties said, as it is passed on.
type LeaderStatus struct {
	_ struct{} `cbor:",toarray"`
	// Process and Stamp tell the words of a holder apart; Process is 0 if none is
	// known. Age is how long ago the word was said.
	Process uint64
	Stamp   time.Duration
	Age     time.Duration
	// Drained lists the replicas that get no new work until they hold a weight version,
	// and Ordered those of them that were ordered to load.
	Drained []ReplicaVersion
	Loading []string
}

// StorePosition is how far the changes of a store were taken from an instance.
type StorePosition struct {
	_                  struct{} `cbor:",toarray"`
	Store              string
	Generation, Offset uint64
}

// StoreChanges is what happened to the contents of a store.
type StoreChanges struct {
	_                  struct{} `cbor:",toarray"`
	Store              string
	Generation, Offset uint64
	Snapshot           bool
	Epoch, Last        uint64
	// Salts are those that the events name by their index.
	Salts  []string
	Events []StoreEvent
}

// StoreEvent is one change of a store's contents.
type StoreEvent struct {
	_       struct{} `cbor:",toarray"`
	Salt    int
	ID      string
	Tokens  int
	Removed bool
}

// ViewState says how far a topic was read and how old the proof is that it was
// complete; a negative age means that there is none.
type ViewState struct {
	_        struct{} `cbor:",toarray"`
	Next     uint64
	ProofAge time.Duration
	// RecoveryAge is how long ago the topic was first read after an outage, in which
	// entries may have lapsed; 0 if that is long ago.
	RecoveryAge time.Duration
}

// LoadTable is the work in flight at replicas, in columns, which are read in a
// fraction of the time of rows.
type LoadTable struct {
	_        struct{} `cbor:",toarray"`
	Replicas []string
	// Values has four numbers for each replica: the running requests, the tokens that
	// they need, the tokens that are not read yet, and the milliseconds of the
	// transfers of context that they wait for.
	Values []int
}

const loadColumns = 4

// Add adds the work at a replica.
func (t *LoadTable) Add(replica string, running, tokens, pendingPrefill int, pendingTransfer time.Duration) {
	t.Replicas = append(t.Replicas, replica)
	t.Values = append(t.Values, running, tokens, pendingPrefill, int(pendingTransfer.Milliseconds()))
}

// ForEach calls do with each replica's work. What is missing in a table is left out.
func (t *LoadTable) ForEach(do func(replica string, running, tokens, reading int, moving time.Duration)) {
	for i, r := range t.Replicas {
		if len(t.Values) < loadColumns*(i+1) {
			return
		}
		f := t.Values[loadColumns*i:]
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

// FingerprintCrashes has the ends of replicas that ran a content.
type FingerprintCrashes struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint quarantine.Fingerprint
	Crashes     []Crash
	// ClearedAge is how long ago the last run began that was answered with success;
	// negative if there was none.
	ClearedAge time.Duration
}

// Crash is one end of a replica.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// ReplicaDigest is the digest of the replica's incarnation, and Round tells its ends
	// apart.
	ReplicaDigest uint64
	Seq           int
	Age           time.Duration
	// Retracted is true if the replica has proved since that it lives.
	Retracted bool
}

// ModelVersion is a weight version of a model, as some instances told it.
type ModelVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version int
	// ReporterDigest is the sum of the digests of the instances that told.
	ReporterDigest uint64
}
