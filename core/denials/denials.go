// Package denials tracks which grantors of a limit have denied requests or don't respond,
// so that an instance asks each of them again only when a grant may be available.
package denials

import (
	"net/netip"
	"time"
)

const (
	// failedPause is how long a grantor is not asked after it did not respond.
	failedPause = time.Second
	// defaultWait is the wait if no grantor is known.
	defaultWait = 250 * time.Millisecond
	// minWait is the least time for which a denial holds.
	minWait = time.Millisecond
)

// Denials has the denials that an instance has received. The zero value has none. It is
// not safe for concurrent use.
type Denials struct {
	// failedUntil has, by grantor, until when it is not asked.
	failedUntil map[netip.AddrPort]time.Time
	denied      map[key]denial
}

type key struct {
	replica string
	grantor netip.AddrPort
}

// denial holds for requests with a priority and for less urgent ones.
type denial struct {
	until    time.Time
	priority int
}

// Askable returns those of the grantors of a replica that may grant a request with a
// priority, 0 being the most urgent. The instance itself comes first.
func (d *Denials) Askable(now time.Time, self netip.AddrPort, replica string, grantors []netip.AddrPort, priority int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, g := range grantors {
		switch {
		case d.left(now, replica, g, priority) > 0:
		case g == self:
			out = append([]netip.AddrPort{g}, out...)
		default:
			out = append(out, g)
		}
	}
	return out
}

// left returns how long a grantor is not asked.
func (d *Denials) left(now time.Time, replica string, grantor netip.AddrPort, priority int) time.Duration {
	left := max(0, d.failedUntil[grantor].Sub(now))
	if e := d.denied[key{replica, grantor}]; priority >= e.priority {
		left = max(left, e.until.Sub(now))
	}
	return left
}

// Denied records that a grantor denied a request, and the time after which it may grant
// one with this priority.
func (d *Denials) Denied(now time.Time, replica string, grantor netip.AddrPort, priority int, wait time.Duration) {
	k := key{replica, grantor}
	if old := d.denied[k]; now.Before(old.until) && priority > old.priority {
		return
	}
	if d.denied == nil {
		d.denied = map[key]denial{}
	}
	d.denied[k] = denial{now.Add(max(wait, minWait)), priority}
}

// Failed records that a grantor did not respond.
func (d *Denials) Failed(now time.Time, grantor netip.AddrPort) {
	if d.failedUntil == nil {
		d.failedUntil = map[netip.AddrPort]time.Time{}
	}
	d.failedUntil[grantor] = now.Add(failedPause)
}

// Wait returns the time until one of the grantors may grant a request with a priority.
func (d *Denials) Wait(now time.Time, replica string, grantors []netip.AddrPort, priority int) time.Duration {
	wait := time.Duration(0)
	for _, g := range grantors {
		if left := max(minWait, d.left(now, replica, g, priority)); wait == 0 || left < wait {
			wait = left
		}
	}
	if wait == 0 {
		return defaultWait
	}
	return wait
}

// Sweep drops what has expired.
func (d *Denials) Sweep(now time.Time) {
	for k, e := range d.denied {
		if !now.Before(e.until) {
			delete(d.denied, k)
		}
	}
	for g, until := range d.failedUntil {
		if !now.Before(until) {
			delete(d.failedUntil, g)
		}
	}
}
