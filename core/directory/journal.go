package directory

import "time"

// minJournalLen is the number of latest changes of a store that are always kept for
// followers. The journal is trimmed to it when it has twice as many.
const minJournalLen = 256

// Position is a follower's position in another instance's journal of a store.
type Position struct {
	// Generation counts how often the journal was started anew, because the store
	// restarted or could not be reached. Offset is the number of changes of that
	// generation that precede the position.
	Generation, Offset uint64
}

// Changes are changes of the contents of a store, for instances that follow another
// instance in place of the store itself. The embedded Position is the one after them.
type Changes struct {
	Position
	// Snapshot is true if Events are the complete contents, not changes.
	Snapshot bool
	// Epoch is the store's epoch, or 0 if the store can't be reached. Last is the
	// number of the newest store event that is included.
	Epoch, Last uint64
	Events      []Event
}

// journal has the latest changes of a store's contents in order.
type journal struct {
	generation uint64
	// start is the offset of the first event.
	start  uint64
	events []Event
}

// end returns the offset after the last event.
func (j *journal) end() uint64 { return j.start + uint64(len(j.events)) }

func (j *journal) add(ev Event) {
	j.events = append(j.events, ev)
	if len(j.events) >= 2*minJournalLen {
		j.start += minJournalLen
		j.events = append([]Event(nil), j.events[minJournalLen:]...)
	}
}

// ChangesSince returns the changes of a store's contents after a position, or a snapshot
// if the journal does not cover the position. It returns false if the store is unknown
// or was never read.
func (d *Directory) ChangesSince(store string, after Position) (c Changes, ok bool) {
	s, ok := d.stores[store]
	if !ok || s.journal.generation == 0 {
		return Changes{}, false
	}
	j := &s.journal
	c = Changes{Position: Position{j.generation, j.end()}, Epoch: s.epoch, Last: s.lastEvent}
	if after.Generation == j.generation && after.Offset >= j.start && after.Offset <= j.end() {
		c.Events = j.events[after.Offset-j.start:]
		return c, true
	}
	c.Snapshot = true
	for part, tokens := range s.held {
		c.Events = append(c.Events, Event{Part: part, Tokens: tokens})
	}
	return c, true
}

// ApplyChanges applies changes of a store received from another instance. An epoch of 0
// drops the state of the store. Changes of another epoch than that of the state are
// ignored, unless they are a snapshot.
func (d *Directory) ApplyChanges(now time.Time, store string, c Changes) {
	s, ok := d.stores[store]
	if !ok {
		return
	}
	if c.Epoch == 0 {
		if s.epoch != 0 {
			s.reset(0)
		}
		return
	}
	if c.Snapshot {
		l := Listing{Epoch: c.Epoch, Last: c.Last, Held: map[Part]int{}}
		for _, ev := range c.Events {
			l.Held[ev.Part] = ev.Tokens
		}
		d.Replace(now, store, l)
		return
	}
	if c.Epoch != s.epoch {
		return
	}
	for _, ev := range c.Events {
		s.apply(ev)
	}
	s.lastEvent = max(s.lastEvent, c.Last)
}
