// Package loadlimit limits how many engines load weights at once, over all instances.
// One instance, the owner, grants permits.
package loadlimit

import "time"

// Limits of loading.
const (
	// MaxLoads is the maximum number of concurrent loads. More would slow each other
	// down.
	MaxLoads = 2
	// permitTTL is how long a permit counts if it is not released, as when its holder
	// has crashed.
	permitTTL = 10 * time.Second
)

// LoadLimit holds the valid permits. The zero value has none. It is not safe for
// concurrent use.
type LoadLimit struct {
	// NotBefore is the earliest time of a permit. It lets a new owner wait until the
	// permits of the previous one have been used.
	NotBefore time.Time
	// permits maps engines to the expiry of their permits.
	permits map[string]time.Time
}

// Permit reports whether an engine may load weights now, and if so, grants or renews its
// permit. It refuses before NotBefore, and while MaxLoads other engines hold permits.
func (l *LoadLimit) Permit(now time.Time, engine string) bool {
	if now.Before(l.NotBefore) {
		return false
	}
	for name, until := range l.permits {
		if !now.Before(until) {
			delete(l.permits, name)
		}
	}
	if _, ok := l.permits[engine]; !ok && len(l.permits) >= MaxLoads {
		return false
	}
	if l.permits == nil {
		l.permits = map[string]time.Time{}
	}
	l.permits[engine] = now.Add(permitTTL)
	return true
}

// Release removes the permit of an engine.
func (l *LoadLimit) Release(engine string) { delete(l.permits, engine) }

// ChooseVersion returns the weight version for a request while replicas load a new one.
// A hash of the session selects it, in proportion to the number of replicas that hold
// each version. versions is in order of preference and not empty, and counts holds the
// number of replicas of each. If all counts are 0, the first version is returned.
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
