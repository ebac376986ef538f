package directory

import "time"

// Source is how a replica obtains a part of a prompt.
type Source int

// The sources.
const (
	// Prefill parts are computed by the replica, unless it has them in its cache.
	Prefill Source = iota
	// Fetch parts are fetched from a store.
	Fetch
	// Save parts are computed by the replica and then saved to a store.
	Save
)

// Plan chooses the source of a part for a replica, and the store to fetch it from or
// save it to. A fetch may take up to limit. A part that a slow store holds is prefilled
// but not saved to another store, since a second copy would only take up space.
func (d *Directory) Plan(now time.Time, p Part, tokens int, limit time.Duration, replica string) (Source, string) {
	if store, ok := d.Locate(p, tokens); ok {
		if d.ShouldFetch(now, store, tokens, limit) {
			return Fetch, store
		}
		return Prefill, ""
	}
	if store, ok := d.Reserve(now, p, tokens, replica); ok {
		return Save, store
	}
	return Prefill, ""
}
