package directory

import (
	"maps"
	"time"
)

// reservations are the parts that occupy space in a store and are not complete: saves that are
// pending, and parts that are partially written. Their space is kept as a sum, since a prompt may
// have very many parts. The zero value has none.
type reservations struct {
	pending map[Part]pendingSave
	partial map[Part]partialWrite
	// saves is the space of the pending saves, and writes that of the other partial parts, in
	// tokens.
	saves, writes int
	// expiring has the pending saves in the order in which they expire, and those that are
	// dropped already.
	expiring []expiringSave
}

// expiringSave is a pending save and when it expires.
type expiringSave struct {
	part    Part
	expires time.Time
}

// add adds a pending save.
func (r *reservations) add(p Part, sv pendingSave) {
	r.dropSave(p)
	if r.pending == nil {
		r.pending = map[Part]pendingSave{}
	}
	r.pending[p] = sv
	r.saves += roundToBlocks(sv.tokens)
	if partial, ok := r.partial[p]; ok {
		r.writes -= roundToBlocks(partial.Reserved)
	}
	r.expiring = append(r.expiring, expiringSave{p, sv.expires})
}

// dropSave drops a pending save, if there is one. Its part may be partially written.
func (r *reservations) dropSave(p Part) {
	sv, ok := r.pending[p]
	if !ok {
		return
	}
	delete(r.pending, p)
	r.saves -= roundToBlocks(sv.tokens)
	if partial, ok := r.partial[p]; ok {
		r.writes += roundToBlocks(partial.Reserved)
	}
}

// dropPartial drops a partially written part, if there is one.
func (r *reservations) dropPartial(p Part) {
	partial, ok := r.partial[p]
	if !ok {
		return
	}
	delete(r.partial, p)
	if _, ok := r.pending[p]; !ok {
		r.writes -= roundToBlocks(partial.Reserved)
	}
}

// replacePartial replaces all partially written parts.
func (r *reservations) replacePartial(partial map[Part]partialWrite) {
	for p := range maps.Clone(r.partial) {
		r.dropPartial(p)
	}
	r.partial = partial
	for p, w := range partial {
		if _, ok := r.pending[p]; !ok {
			r.writes += roundToBlocks(w.Reserved)
		}
	}
}

// expire drops the pending saves that have expired.
func (r *reservations) expire(now time.Time) {
	n := 0
	for _, e := range r.expiring {
		if now.Before(e.expires) {
			break
		}
		// A later save of the part may be pending.
		if sv, ok := r.pending[e.part]; ok && !now.Before(sv.expires) {
			r.dropSave(e.part)
		}
		n++
	}
	if r.expiring = r.expiring[n:]; len(r.expiring) == 0 {
		r.expiring = nil
	}
}
