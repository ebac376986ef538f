// Package clock reads a clock that also counts the time in which the machine
// was suspended, so that leases and proofs grow old meanwhile.
package clock

import "time"

// Now returns the time since the machine's start as a time. It never jumps and
// has no relation to the time of day.
func Now() time.Time {
	seconds, nanos, err := bootTime()
	if err != nil {
		panic("reading the clock: " + err.Error())
	}
	return time.Unix(seconds, nanos)
}
