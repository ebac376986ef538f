package replicas

import (
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/entry/message"
)

// StoreChangesSince returns the changes of the stores' contents after the positions of
// a peer that follows this instance, and the replicas' clock in Unix milliseconds. The
// clock is 0 if it is not known or no position is given.
func (rs *Replicas) StoreChangesSince(now time.Time, after []message.StorePosition) (changes []message.StoreChanges, clock int64) {
	if len(after) == 0 {
		return nil, 0
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, p := range after {
		c, ok := rs.dir.ChangesSince(p.Store, directory.Position{Generation: p.Generation, Offset: p.Offset})
		if ok && (c.Snapshot || len(c.Events) > 0) {
			changes = append(changes, encodeChanges(p.Store, c))
		}
	}
	if rs.clockKnown {
		clock = now.Add(rs.clockOffset).UnixMilli()
	}
	return changes, clock
}

// ApplyStoreChanges applies changes of the stores' contents and the replicas' clock, as
// received from a peer.
func (rs *Replicas) ApplyStoreChanges(now time.Time, changes []message.StoreChanges, clock int64) {
	rs.SetReplicaClock(now, clock)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, c := range changes {
		rs.dir.ApplyChanges(now, c.Store, decodeChanges(c))
	}
}

// encodeChanges converts the changes of a store to a message, whose events refer to
// their salts by index.
func encodeChanges(store string, c directory.Changes) message.StoreChanges {
	out := message.StoreChanges{
		Store: store, Generation: c.Generation, Offset: c.Offset, Snapshot: c.Snapshot, Epoch: c.Epoch, Last: c.Last,
		Events: make([]message.StoreEvent, 0, len(c.Events)),
	}
	salts := map[string]int{}
	for _, ev := range c.Events {
		salt, ok := salts[ev.Part.Salt]
		if !ok {
			salt = len(out.Salts)
			salts[ev.Part.Salt] = salt
			out.Salts = append(out.Salts, ev.Part.Salt)
		}
		out.Events = append(out.Events, message.StoreEvent{Salt: salt, ID: ev.Part.ID, Tokens: ev.Tokens, Removed: ev.Removed})
	}
	return out
}

// decodeChanges converts a message to changes of a store. It skips events whose salt
// index is out of range.
func decodeChanges(c message.StoreChanges) directory.Changes {
	out := directory.Changes{
		Position: directory.Position{Generation: c.Generation, Offset: c.Offset}, Snapshot: c.Snapshot, Epoch: c.Epoch, Last: c.Last,
	}
	for _, ev := range c.Events {
		if ev.Salt < 0 || ev.Salt >= len(c.Salts) {
			continue
		}
		out.Events = append(out.Events, directory.Event{
			Part: directory.Part{Salt: c.Salts[ev.Salt], ID: ev.ID}, Tokens: ev.Tokens, Removed: ev.Removed,
		})
	}
	return out
}
