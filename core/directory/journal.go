package directory

import "time"

// minJournalLen is the least number of changes of a store that are kept for followers.
const minJournalLen = 256

// Position is how far a follower has taken another instance's changes of a store.
// Run tells the times apart at which that instance began anew.
type Position struct {
	Generation, Offset uint64
}

// Changes are what happened to the contents of a store, for instances that follow
// another one in place of the store itself.
type Changes struct {
	Position
	// Snapshot is true if Events add up to the whole contents.
	Snapshot bool
	// Epoch and Last are the store's own; Epoch is 0 if it can't be reached.
	Epoch, Last uint64
	Events      []Event
}

// journal has the last changes of a store's contents in order.
type journal struct {
	generation uint64
	start      uint64
	events     []Event
}

func (j *journal) end() uint64 { return j.start + uint64(len(j.events)) }

func (j *journal) add(ev Event) {
	j.events = append(j.events, ev)
	if len(j.events) >= 2*minJournalLen {
		j.start += minJournalLen
		j.events = append([]Event(nil), j.events[minJournalLen:]...)
	}
}

// ChangesSince returns what happened to a store's contents after a position; ok is
// false if the store is not known. All is told again to a follower that is too
// far behind.
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

// ApplyChanges takes what another instance tells of a store.
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
