// Package loadlimit limits how many engines load weights at once, over all
// instances. One instance owns the limit and gives out permits.
package loadlimit

import "time"

// Limits of loading.
const (
	// MaxLoads is the number of loads at once; more than that slow each other.
	MaxLoads = 2
	// permitTTL is how long a permit counts if its holder is never heard again.
	permitTTL = 10 * time.Second
)

// LoadLimit holds the permits in force. The zero value has given out none. It is
// not safe for concurrent use.
type LoadLimit struct {
	// NotBefore delays the first permit of a new owner until the permits of the
	// one before have been used.
	NotBefore time.Time
	permits   map[string]time.Time
}

// Permit lets an engine load, or refuses it.
func (w *LoadLimit) Permit(now time.Time, engine string) bool {
	if now.Before(w.NotBefore) {
		return false
	}
	for name, until := range w.permits {
		if !now.Before(until) {
			delete(w.permits, name)
		}
	}
	if _, ok := w.permits[engine]; !ok && len(w.permits) >= MaxLoads {
		return false
	}
	if w.permits == nil {
		w.permits = map[string]time.Time{}
	}
	w.permits[engine] = now.Add(permitTTL)
	return true
}

// Release ends a permit.
func (w *LoadLimit) Release(engine string) { delete(w.permits, engine) }

// ChooseVersion picks the version that a request runs on while replicas load a new
// one: in proportion to the replicas that hold each, by a hash of its session.
// The versions are in order of preference; counts are the replicas that hold
// them. With no replica known the first one is chosen.
func ChooseVersion(hash uint64, versions []string, counts []int) string {
	total := 0
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return versions[0]
	}
	at := int(hash % uint64(total))
	for i, n := range counts {
		if at < n {
			return versions[i]
		}
		at -= n
	}
	return versions[0]
}
