package configsync

import (
	"context"
	"time"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
)

// handle responds to the peers' messages about the configuration.
func (f *Follower) handle(_ context.Context, from string, msg message.Message) (message.Message, bool, error) {
	switch m := msg.(type) {
	case message.ReportQuery:
		return f.report(), true, nil
	case message.RecordsNotice:
		f.receiveNotice(from, m.Next)
		return message.Ack{}, true, nil
	case message.ConfigRequest:
		return f.serveFetch(m.From), true, nil
	case message.StatusQuery:
		return f.Status(time.Now()), true, nil
	default:
		return nil, false, nil
	}
}

func (f *Follower) report() message.Message {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	rep := f.freshness.Report(now, f.ledger.Next(), f.roster.Scope(now))
	if !f.ledger.Ready() {
		// A ledger that waits for a snapshot has nothing that peers could fetch.
		rep.Next = 0
	}
	return message.Report{Report: rep, Leaving: f.roster.Self.Leaving}
}

// receiveNotice fetches the records before next from the sender of a notice, unless
// they have been read already, a fetch is in progress, or the sender is not listed.
func (f *Follower) receiveNotice(from string, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next <= f.ledger.Next() || f.fetching {
		return
	}
	for _, m := range f.roster.Peers() {
		if m.Name == from {
			f.fetching = true
			go f.fetch(m)
		}
	}
}

// serveFetch returns the raw records from an offset on, at most recentRecords of them.
// If the buffer does not reach back to the offset, or the ledger is incomplete, it
// returns a snapshot.
func (f *Follower) serveFetch(from uint64) message.Message {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.recent) == 0 || from < f.recentFrom || !f.ledger.Ready() {
		return message.ConfigSnapshot{Snapshot: f.ledger.Snapshot()}
	}
	i := min(from-f.recentFrom, uint64(len(f.recent)))
	n := min(uint64(len(f.recent)), i+recentRecords)
	return message.ConfigRecords{From: from, Raw: append([][]byte(nil), f.recent[i:n]...)}
}

// Status returns the offset of the configuration that this instance has read, the
// status of its view, and whether it is ready or leaving. The offset is 0 while the
// ledger waits for a snapshot.
func (f *Follower) Status(now time.Time) message.Status {
	f.mu.Lock()
	next := f.ledger.Next()
	if !f.ledger.Ready() {
		next = 0
	}
	f.mu.Unlock()
	return message.Status{
		Name: f.Self.Name, DataCentre: f.Self.DataCentre, Offset: next,
		View: f.Freshness(now).String(), Ready: f.Ready(now), Leaving: f.Leaving(),
	}
}

// Statuses requests the status of every listed instance, and returns this instance's
// own first and the others in no particular order. An instance that does not respond
// within callTimeout has the view "unreachable".
func (f *Follower) Statuses(ctx context.Context) []message.Status {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peers := f.Peers()
	responses := make(chan message.Status, len(peers))
	for _, m := range peers {
		go func() { responses <- f.statusOf(ctx, m) }()
	}
	all := []message.Status{f.Status(time.Now())}
	for range peers {
		all = append(all, <-responses)
	}
	return all
}

func (f *Follower) statusOf(ctx context.Context, m roster.Member) message.Status {
	st, err := peerrpc.Call[message.Status](ctx, f.Endpoint, m, message.StatusQuery{})
	if err != nil {
		return message.Status{Name: m.Name, DataCentre: m.DataCentre, View: "unreachable", Leaving: m.Leaving}
	}
	return st
}
