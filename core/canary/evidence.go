package canary

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCells bounds the cells of one process, and maxProcesses the processes, beyond the
	// largest fleet that has restarted twice. Responses beyond maxCells are not told apart
	// by replica.
	maxCells     = 1000
	maxProcesses = 1000
	// lossWindow is how long the lost responses of one replica count as one event, as
	// after a crash.
	lossWindow = time.Second
)

// Outcome is what became of one attempt at a replica.
type Outcome struct {
	// Rollout and Target are those of the Choice. An outcome of an earlier rollout is
	// ignored.
	Rollout uint64
	Target  bool
	Route   string
	// DataCentre is that of the replica, Replica identifies its process.
	DataCentre, Replica string
	// Failed is true if the replica responded with a failure (500 and the like, or a
	// response that is not what its route has), or did not respond by the deadline.
	// Responses that say that nothing ran are no outcomes, and neither are those that the
	// caller gave up.
	Failed bool
	// Lost is true if the connection ended before the response did, as after a crash.
	Lost bool
	// FirstEvent is the time from sending the request to the first event of the response,
	// or to the whole response if it has no events. MeanGap is the mean time between its
	// events. Duration is the time from sending the request to the end of the response.
	// 0 means not known. Leave FirstEvent out if the replica had to prefill context that
	// replicas of the old version usually have.
	FirstEvent, MeanGap, Duration time.Duration
	// Cold is true if the replica started less than its cold time (coldS) ago, so that it
	// may be slow.
	Cold bool
}

// Counts has the evidence that one process has counted since its rollout began. All
// numbers only grow.
type Counts struct {
	Process Process `cbor:"1,keyasint"`
	Cells   []Cell  `cbor:"2,keyasint,omitempty"`
	Losses  []Loss  `cbor:"3,keyasint,omitempty"`
	// SentOld and SentTarget are the requests chosen for either, UnsentOld and
	// UnsentTarget those of them that no replica got.
	SentOld      uint32 `cbor:"4,keyasint,omitempty"`
	SentTarget   uint32 `cbor:"5,keyasint,omitempty"`
	UnsentOld    uint32 `cbor:"6,keyasint,omitempty"`
	UnsentTarget uint32 `cbor:"7,keyasint,omitempty"`
	// LongestMillis is the longest time that a request ran on an old replica.
	LongestMillis uint32 `cbor:"8,keyasint,omitempty"`
}

// Cell counts the responses of one route, data centre, version, stage and, for the target,
// replica.
type Cell struct {
	Route      string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Target     bool   `cbor:"3,keyasint,omitempty"`
	// Stage says under which share the requests were sent. Replica is a digest; 0 stands
	// for any replica.
	Stage   uint8  `cbor:"4,keyasint,omitempty"`
	Replica uint32 `cbor:"5,keyasint,omitempty"`
	// Responses is the number of outcomes, Failed and Lost those that failed either way.
	Responses uint32 `cbor:"6,keyasint,omitempty"`
	Failed    uint32 `cbor:"7,keyasint,omitempty"`
	Lost      uint32 `cbor:"8,keyasint,omitempty"`
	// Timed is the number of times that were compared with those usual for the old
	// version, and Slow those that were several times longer.
	Timed uint32 `cbor:"9,keyasint,omitempty"`
	Slow  uint32 `cbor:"10,keyasint,omitempty"`
	// FirstEvent and MeanGap have the times of old replicas in buckets (see bucketOf), up
	// to the last bucket that is not 0.
	FirstEvent []uint32 `cbor:"11,keyasint,omitempty"`
	MeanGap    []uint32 `cbor:"12,keyasint,omitempty"`
}

// Loss counts the times at which responses of one replica were lost. What several
// processes have lost at one replica counts once.
type Loss struct {
	Replica    uint32 `cbor:"1,keyasint"`
	Route      string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Target     bool   `cbor:"4,keyasint,omitempty"`
	Stage      uint8  `cbor:"5,keyasint,omitempty"`
	Events     uint32 `cbor:"6,keyasint"`
}

// key identifies a cell.
type key struct {
	route, dataCentre string
	target            bool
	stage             stage
	replica           uint32
}

func (cl *Cell) key() key {
	return key{cl.Route, cl.DataCentre, cl.Target, stage(cl.Stage), cl.Replica}
}

// entry is what one process has counted.
type entry struct {
	counts Counts // without Cells and Losses
	// changed is when counts last changed other than by the requests sent.
	changed time.Time
	cells   map[key]*cellEntry
	losses  map[uint32]*lossEntry
}

// cellEntry and lossEntry have the time of their last change by this instance's clock.
type cellEntry struct {
	Cell
	changed time.Time
}

type lossEntry struct {
	Loss
	changed time.Time
	// first is when the last event began.
	first time.Time
}

// evidence has the counts of all processes and their sums. The zero value has none.
type evidence struct {
	processes map[Process]*entry
	// cells sums the cells over all processes, losses has the most events that a process
	// has counted, places the times of the old version.
	cells  map[key]*Cell
	losses map[uint32]*Loss
	places map[place]*times
	// sent and unsent are the requests to old replicas and to the target; longest is that
	// of LongestMillis.
	sent, unsent [2]uint64
	longest      time.Duration
	// changes has what has changed, in the order of time.
	changes []change
	// version counts the changes of the sums.
	version uint64
}

func (e *evidence) entry(p Process) *entry {
	en := e.processes[p]
	if en == nil {
		if e.processes == nil {
			e.processes = map[Process]*entry{}
		}
		if e.cells == nil {
			e.cells, e.losses = map[key]*Cell{}, map[uint32]*Loss{}
		}
		en = &entry{counts: Counts{Process: p}, cells: map[key]*cellEntry{}, losses: map[uint32]*lossEntry{}}
		e.processes[p] = en
	}
	return en
}

// countSent counts a request that was chosen for the target or old replicas. The time of
// the change is set when a response comes.
func (e *evidence) countSent(self Process, target bool) {
	n := &e.entry(self).counts
	if target {
		n.SentTarget++
		e.sent[1]++
		return
	}
	n.SentOld++
	e.sent[0]++
}

// conclude keeps the sums only, as the evidence is no longer needed.
func (e *evidence) conclude() { e.processes, e.changes = nil, nil }

func (e *evidence) countUnsent(self Process, target bool) {
	n := &e.entry(self).counts
	if target {
		n.UnsentTarget++
		e.unsent[1]++
		return
	}
	n.UnsentOld++
	e.unsent[0]++
}

// Record counts the outcome of an attempt that Choose, Again, Old or Resume allowed, at its
// end.
func (c *Canary) Record(now time.Time, o Outcome) { c.record(now, o, true) }

// Progress counts the times of a response that goes on, so that slow responses are known
// before their end. Record must then not have the same times again.
func (c *Canary) Progress(now time.Time, o Outcome) { c.record(now, o, false) }

func (c *Canary) record(now time.Time, o Outcome, ended bool) {
	a := c.attempt
	if a == nil || o.Rollout>>stageBits != c.rollouts || a.phase() >= Done {
		return
	}
	e := &a.evidence
	en := e.entry(c.Self)
	k := key{o.Route, o.DataCentre, o.Target, stage(o.Rollout & (1<<stageBits - 1)), 0}
	replica := max(uint32(xxhash.Sum64String(o.Replica)), 1)
	if o.Target && len(en.cells) < maxCells {
		k.replica = replica
	}
	d := Cell{Route: k.route, DataCentre: k.dataCentre, Target: k.target, Stage: uint8(k.stage), Replica: k.replica}
	if ended {
		d.Responses = 1
	}
	switch {
	case o.Lost:
		d.Lost = 1
		e.lose(now, en, replica, k)
	case o.Failed:
		d.Failed = 1
	default:
		e.time(&d, o)
		if ended && !o.Target {
			e.lengthen(now, en, o.Duration)
		}
	}
	if o.Target && (d.Failed+d.Lost > 0 || d.Slow > 0) {
		a.exposure.bad++
	}
	e.add(now, en, d)
}

// lose counts a lost response of a replica.
func (e *evidence) lose(now time.Time, en *entry, replica uint32, k key) {
	l := en.losses[replica]
	if l == nil {
		l = &lossEntry{Loss: Loss{Replica: replica, Route: k.route, DataCentre: k.dataCentre, Target: k.target, Stage: uint8(k.stage)}}
		en.losses[replica] = l
	}
	if l.first.IsZero() || now.Sub(l.first) >= lossWindow {
		l.first = now
		l.Events++
		e.mergeLoss(l.Loss)
		e.changeLoss(now, en, l)
	}
}

func (e *evidence) mergeLoss(l Loss) {
	sum := e.losses[l.Replica]
	if sum == nil {
		sum = new(Loss)
		*sum = l
		e.losses[l.Replica] = sum
	}
	sum.Events = max(sum.Events, l.Events)
	e.version++
}

func (e *evidence) lengthen(now time.Time, en *entry, d time.Duration) {
	if ms := uint32(min(max(d.Milliseconds(), 0), 1<<31)); ms > en.counts.LongestMillis {
		en.counts.LongestMillis = ms
		e.change(now, en)
		e.longest = max(e.longest, d)
	}
}

// add adds counts of an entry's process to its cell and to the sums.
func (e *evidence) add(now time.Time, en *entry, d Cell) {
	k := d.key()
	ce := en.cells[k]
	if ce == nil {
		ce = &cellEntry{Cell: Cell{Route: d.Route, DataCentre: d.DataCentre, Target: d.Target, Stage: d.Stage, Replica: d.Replica}}
		en.cells[k] = ce
	}
	ce.add(&d)
	e.changeCell(now, en, ce)
	e.sum(k, &d)
}

// sum adds counts to the sums.
func (e *evidence) sum(k key, d *Cell) {
	sum := e.cells[k]
	if sum == nil {
		sum = &Cell{Route: k.route, DataCentre: k.dataCentre, Target: k.target, Stage: uint8(k.stage), Replica: k.replica}
		e.cells[k] = sum
	}
	sum.add(d)
	if !k.target {
		e.timesAt(place{k.route, k.dataCentre}).add(d)
	}
	e.version++
}

// add adds the numbers of d. Those of the buckets grow as needed.
func (cl *Cell) add(d *Cell) {
	cl.Responses += d.Responses
	cl.Failed += d.Failed
	cl.Lost += d.Lost
	cl.Timed += d.Timed
	cl.Slow += d.Slow
	cl.FirstEvent = addBuckets(cl.FirstEvent, d.FirstEvent)
	cl.MeanGap = addBuckets(cl.MeanGap, d.MeanGap)
}

func addBuckets(sum, d []uint32) []uint32 {
	for len(sum) < len(d) {
		sum = append(sum, 0)
	}
	for i, n := range d {
		sum[i] += n
	}
	return sum
}
