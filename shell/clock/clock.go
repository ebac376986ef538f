// Package clock reads a monotonic clock that also advances while the machine is
// suspended, so that leases and freshness proofs age during a suspension.
package clock

import "time"

// Now returns the time since the machine's boot, as a time after the Unix epoch. It
// never jumps and has no relation to the time of day. It panics if the clock can't be
// read.
func Now() time.Time {
	seconds, nanos, err := bootTime()
	if err != nil {
		panic("reading the clock: " + err.Error())
	}
	return time.Unix(seconds, nanos)
}
