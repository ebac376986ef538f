package upstreams

import (
	"time"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/entry/message"
)

// StoreChanges tells a peer that follows this instance what happened to the stores
// of context since its positions, with the replicas' clock in milliseconds.
func (u *Upstreams) StoreChanges(now time.Time, after []message.StorePosition) (told []message.StoreChanges, clock int64) {
	if len(after) == 0 {
		return nil, 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range after {
		c, ok := u.dir.ChangesSince(p.Store, directory.Position{Generation: p.Generation, Offset: p.Offset})
		if ok && (c.Snapshot || len(c.Events) > 0) {
			told = append(told, encodeChanges(p.Store, c))
		}
	}
	if u.clockKnown {
		clock = now.Add(u.clock).UnixMilli()
	}
	return told, clock
}

// FollowPeer takes what a peer told of the stores.
func (u *Upstreams) FollowPeer(now time.Time, told []message.StoreChanges, clock int64) {
	u.SetClock(now, clock)
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range told {
		u.dir.ApplyChanges(now, c.Store, decodeChanges(c))
	}
}

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
