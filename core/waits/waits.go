// Package waits keeps until when replicas want no requests of this instance, as their
// refusals state. A statement holds for one incarnation of a replica. It outlives the
// replica's entry in the list.
package waits

import "time"

// MaxWait bounds a wait. A replica that starts or recovers may need minutes; one that states
// more is asked once after that time, and may state it again.
const MaxWait = 5 * time.Minute

// Waits has the waits of replicas. The zero value has none. It is not safe for concurrent
// use.
type Waits struct {
	until map[string]wait
}

type wait struct {
	incarnation int64
	until       time.Time
}

// Set records that an incarnation of a replica wants no requests for a time.
func (w *Waits) Set(now time.Time, replica string, incarnation int64, d time.Duration) {
	if d <= 0 {
		return
	}
	until := now.Add(min(d, MaxWait))
	if old, ok := w.until[replica]; ok && (old.incarnation > incarnation || old.incarnation == incarnation && old.until.After(until)) {
		return
	}
	if w.until == nil {
		w.until = map[string]wait{}
	}
	w.until[replica] = wait{incarnation, until}
}

// Left returns how much longer an incarnation of a replica wants no requests; 0 if it takes
// some.
func (w *Waits) Left(now time.Time, replica string, incarnation int64) time.Duration {
	old, ok := w.until[replica]
	if !ok || old.incarnation != incarnation {
		return 0
	}
	return max(0, old.until.Sub(now))
}

// Count returns the number of replicas that want no requests now.
func (w *Waits) Count(now time.Time) int {
	n := 0
	for _, old := range w.until {
		if now.Before(old.until) {
			n++
		}
	}
	return n
}

// Sweep drops the waits that are over.
func (w *Waits) Sweep(now time.Time) {
	for id, old := range w.until {
		if !now.Before(old.until) {
			delete(w.until, id)
		}
	}
}
