// Package departures keeps which replicas have stated in their responses that they leave. A
// statement holds for one incarnation of a replica. It outlives the replica's entry in the
// list, which may lag or expire while the log is away.
package departures

import "time"

// ttl is how long a departure is kept after it was recorded, unless the caller still lists
// its replica. Entries that expired while the log was away are written again within seconds.
const ttl = 10 * time.Minute

// Departure is an incarnation of a replica that leaves.
type Departure struct {
	Replica     string
	Incarnation int64
	// RecordedAt is when this instance learnt of it.
	RecordedAt time.Time
}

// Departures has the newest departure of each replica. The zero value is empty. It is not
// safe for concurrent use.
type Departures struct {
	newest map[string]Departure
}

// Record records that an incarnation leaves, and reports whether that is new. A statement of
// an earlier incarnation than the known one is ignored.
func (d *Departures) Record(now time.Time, replica string, incarnation int64) bool {
	if old, ok := d.newest[replica]; ok && old.Incarnation >= incarnation {
		return false
	}
	if d.newest == nil {
		d.newest = map[string]Departure{}
	}
	d.newest[replica] = Departure{replica, incarnation, now}
	return true
}

// Leaving reports whether an incarnation has stated that it leaves.
func (d *Departures) Leaving(replica string, incarnation int64) bool {
	dep, ok := d.newest[replica]
	return ok && dep.Incarnation == incarnation
}

// RecordedSince returns the departures that were recorded at a time or later, in no
// particular order.
func (d *Departures) RecordedSince(since time.Time) []Departure {
	var out []Departure
	for _, dep := range d.newest {
		if !dep.RecordedAt.Before(since) {
			out = append(out, dep)
		}
	}
	return out
}

// Sweep drops the departures that are older than ttl and whose replica is not listed.
func (d *Departures) Sweep(now time.Time, listed func(replica string) bool) {
	for id, dep := range d.newest {
		if now.Sub(dep.RecordedAt) > ttl && !listed(id) {
			delete(d.newest, id)
		}
	}
}
