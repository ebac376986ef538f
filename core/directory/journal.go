package directory

import "time"

// journalLimit is the least number of changes of a store that are kept for followers.
const journalLimit = 256

// Position is how far a follower has taken another instance's changes of a store.
// Run tells the times apart at which that instance began anew.
type Position struct {
	Run, End uint64
}

// Changes are what happened to the contents of a store, for instances that follow
// another one in place of the store itself.
type Changes struct {
	Position
	// Whole is true if Events add up to the whole contents.
	Whole bool
	// Epoch and Last are the store's own; Epoch is 0 if it can't be reached.
	Epoch, Last uint64
	Events      []Event
}

// journal has the last changes of a store's contents in order.
type journal struct {
	run  uint64
	from uint64
	last []Event
}

func (j *journal) end() uint64 { return j.from + uint64(len(j.last)) }

func (j *journal) add(ev Event) {
	j.last = append(j.last, ev)
	if len(j.last) >= 2*journalLimit {
		j.from += journalLimit
		j.last = append([]Event(nil), j.last[journalLimit:]...)
	}
}

// Changes returns what happened to a store's contents after a position; ok is
// false if the store is not known. All is told again to a follower that is too
// far behind.
func (d *Directory) Changes(store string, after Position) (c Changes, ok bool) {
	s, ok := d.shelves[store]
	if !ok || s.journal.run == 0 {
		return Changes{}, false
	}
	j := &s.journal
	c = Changes{Position: Position{j.run, j.end()}, Epoch: s.epoch, Last: s.last}
	if after.Run == j.run && after.End >= j.from && after.End <= j.end() {
		c.Events = j.last[after.End-j.from:]
		return c, true
	}
	c.Whole = true
	for part, tokens := range s.held {
		c.Events = append(c.Events, Event{Part: part, Tokens: tokens})
	}
	return c, true
}

// Follow takes what another instance tells of a store.
func (d *Directory) Follow(now time.Time, store string, c Changes) {
	s, ok := d.shelves[store]
	if !ok {
		return
	}
	if c.Epoch == 0 {
		if s.epoch != 0 {
			s.reset(0)
		}
		return
	}
	if c.Whole {
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
	s.last = max(s.last, c.Last)
}
