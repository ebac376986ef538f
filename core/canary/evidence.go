package canary

import "time"

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
	// response that is not what its route has). Responses that say that nothing ran are no
	// outcomes, and neither are those that the caller gave up.
	Failed bool
	// Lost is true if the connection ended before the response did, as after a crash.
	Lost bool
	// FirstEvent is the time from sending the request to the first event of the response,
	// or to the whole response if it has no events. MeanGap is the mean time between its
	// events. 0 means not known.
	FirstEvent, MeanGap time.Duration
	// Cold is true if the replica started less than its cold time ago, so that it may be
	// slow.
	Cold bool
}

// buckets is the number of buckets of a response time.
const buckets = 24

// Counts has the evidence that one process has counted since its rollout began. All
// numbers only grow.
type Counts struct {
	Process Process `cbor:"1,keyasint"`
	Cells   []Cell  `cbor:"2,keyasint,omitempty"`
}

// Cell counts the responses of one route, data centre and version.
type Cell struct {
	Route      string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Target     bool   `cbor:"3,keyasint,omitempty"`
	// Sent is the number of requests, Responses those with an outcome, Failed and Lost
	// those with that outcome.
	Sent      uint32 `cbor:"4,keyasint,omitempty"`
	Responses uint32 `cbor:"5,keyasint,omitempty"`
	Failed    uint32 `cbor:"6,keyasint,omitempty"`
	Lost      uint32 `cbor:"7,keyasint,omitempty"`
	// FirstEvent and MeanGap have the responses by time, in logarithmic buckets; buckets
	// after the last one that is not 0 are left out.
	FirstEvent []uint32 `cbor:"8,keyasint,omitempty"`
	MeanGap    []uint32 `cbor:"9,keyasint,omitempty"`
}

// Record counts the outcome of an attempt that Choose, Again, Old or Resume allowed.
func (c *Canary) Record(now time.Time, o Outcome) {
	if o.Rollout == 0 || o.Rollout != c.rollout {
		return
	}
	cell := c.cell(o.Route, o.DataCentre, o.Target)
	cell.Responses++
	if o.Failed || o.Lost {
		cell.Failed++
	}
}

func (c *Canary) cell(route, dataCentre string, target bool) *Cell {
	own := c.counts[c.Self]
	if own == nil {
		own = &Counts{Process: c.Self}
		c.counts[c.Self] = own
	}
	for i := range own.Cells {
		if cl := &own.Cells[i]; cl.Route == route && cl.DataCentre == dataCentre && cl.Target == target {
			return cl
		}
	}
	own.Cells = append(own.Cells, Cell{Route: route, DataCentre: dataCentre, Target: target})
	return &own.Cells[len(own.Cells)-1]
}
