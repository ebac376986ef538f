package directory

import "time"

// Source says where a part of a prompt comes from.
type Source int

// The sources.
const (
	// Prefill parts are read by the replica, unless it has them in its cache.
	Prefill Source = iota
	// Fetch parts come from the store.
	Fetch
	// Save parts are read and then saved to the store.
	Save
)

// Plan chooses the source of a part whose fetch may take up to limit, and the
// store that it concerns. A part that a store holds is not saved to another one
// while the first is slow, since the copy would only take space.
func (d *Directory) Plan(now time.Time, p Part, tokens int, limit time.Duration, reader string) (Source, string) {
	if store, ok := d.Locate(p, tokens); ok {
		if d.ShouldFetch(now, store, tokens, limit) {
			return Fetch, store
		}
		return Prefill, ""
	}
	if store, ok := d.Reserve(now, p, tokens, reader); ok {
		return Save, store
	}
	return Prefill, ""
}
