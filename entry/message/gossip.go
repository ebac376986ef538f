package message

import (
	"time"

	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/quarantine"
)

// Gossip tells an instance's state to another, which answers with its own.
type Gossip struct {
	peering.Header
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
	Content quarantine.Fingerprint
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
