// Package waits keeps until when replicas want no requests of this instance, as their
// refusals state. A statement holds for one incarnation of a replica. It outlives the
// replica's entry in the list.
package waits

import "time"

// MaxWait bounds a wait. A replica that starts or recovers may need minutes; one that states
// more is asked once after that time, and may state it again.
const MaxWait = 5 * time.Minute

// Waits has the waits of replicas. Their incarnations have no order: the clock that numbers
// them may be set back. The zero value has none. It is not safe for concurrent use.
type Waits struct {
	until map[incarnation]time.Time
}

type incarnation struct {
	replica string
	number  int64
}

// Set records that an incarnation of a replica wants no requests for a time.
func (w *Waits) Set(now time.Time, replica string, number int64, d time.Duration) {
	inc, until := incarnation{replica, number}, now.Add(min(d, MaxWait))
	if d <= 0 || w.until[inc].After(until) {
		return
	}
	if w.until == nil {
		w.until = map[incarnation]time.Time{}
	}
	w.until[inc] = until
}

// Left returns how much longer an incarnation of a replica wants no requests; 0 if it takes
// some.
func (w *Waits) Left(now time.Time, replica string, number int64) time.Duration {
	until, ok := w.until[incarnation{replica, number}]
	if !ok {
		return 0
	}
	return max(0, until.Sub(now))
}

// Count returns the number of replicas of which an incarnation wants no requests now.
func (w *Waits) Count(now time.Time) int {
	waiting := map[string]bool{}
	for inc, until := range w.until {
		if now.Before(until) {
			waiting[inc.replica] = true
		}
	}
	return len(waiting)
}

// Sweep drops the waits that are over.
func (w *Waits) Sweep(now time.Time) {
	for inc, until := range w.until {
		if !now.Before(until) {
			delete(w.until, inc)
		}
	}
}
