// Package departures keeps which replicas have stated in their responses that they leave. A
// statement holds for one incarnation of a replica. It outlives the replica's entry in the
// list, which may lag or expire while the log is away.
package departures

import "time"

// ttl is how long a departure is kept after it was recorded, unless the caller still needs
// it. Entries that expired while the log was away are written again within seconds.
const ttl = 10 * time.Minute

// Departure is an incarnation of a replica that leaves.
type Departure struct {
	Replica     string
	Incarnation int64
	// RecordedAt is when this instance learnt of it.
	RecordedAt time.Time
}

// Departures has the incarnations of replicas that leave, in no order: the clock that numbers
// them may be set back. The zero value is empty. It is not safe for concurrent use.
type Departures struct {
	recordedAt map[incarnation]time.Time
}

type incarnation struct {
	replica string
	number  int64
}

// Record records that an incarnation leaves, and reports whether that is new.
func (d *Departures) Record(now time.Time, replica string, number int64) bool {
	if d.Leaving(replica, number) {
		return false
	}
	if d.recordedAt == nil {
		d.recordedAt = map[incarnation]time.Time{}
	}
	d.recordedAt[incarnation{replica, number}] = now
	return true
}

// Leaving reports whether an incarnation has stated that it leaves.
func (d *Departures) Leaving(replica string, number int64) bool {
	_, ok := d.recordedAt[incarnation{replica, number}]
	return ok
}

// RecordedSince returns the departures that were recorded at a time or later, in no
// particular order.
func (d *Departures) RecordedSince(since time.Time) []Departure {
	var out []Departure
	for inc, at := range d.recordedAt {
		if !at.Before(since) {
			out = append(out, Departure{inc.replica, inc.number, at})
		}
	}
	return out
}

// Count returns the number of replicas of which an incarnation leaves.
func (d *Departures) Count() int {
	leaving := map[string]bool{}
	for inc := range d.recordedAt {
		leaving[inc.replica] = true
	}
	return len(leaving)
}

// Sweep drops the departures that are older than ttl and whose incarnation is not listed.
func (d *Departures) Sweep(now time.Time, listed func(replica string, number int64) bool) {
	for inc, at := range d.recordedAt {
		if now.Sub(at) > ttl && !listed(inc.replica, inc.number) {
			delete(d.recordedAt, inc)
		}
	}
}
