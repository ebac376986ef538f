package follow

import (
	"context"
	"errors"
	"syscall"
	"time"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
)

func (f *Follower) heartbeatLoop(ctx context.Context) {
	for n := 0; pause(ctx, f.heartbeatPause(time.Now())); n++ {
		for _, m := range f.heard(time.Now(), n) {
			go f.heartbeat(ctx, m)
		}
	}
}

// heard returns the members for the n-th round of heartbeats: those of the data
// centre, and for its speaker now and then those of the other ones.
func (f *Follower) heard(now time.Time, n int) []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.roster.Local()
	doubt := f.fresh.OutageUnconfirmed(now, f.roster.Scope(now))
	if f.roster.IsPrimaryReader(now) && (doubt || n%remoteEvery == 0) {
		members = append(members, f.roster.RemotePrimaryReaders(now)...)
	}
	return members
}

func (f *Follower) heartbeatPause(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fresh.OutageUnconfirmed(now, f.roster.Scope(now)) {
		return doubtInterval
	}
	return heartbeatInterval
}

func (f *Follower) heartbeat(ctx context.Context, m roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatLimit)
	defer cancel()
	sent := time.Now()
	rep, err := peerrpc.Call[message.Report](ctx, f.Mesh, m, message.ReportQuery{})
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			f.roster.MarkStopped(now, m.Name)
		} else {
			f.roster.MarkUnreachable(now, m.Name)
		}
		return
	}
	f.roster.MarkReachable(m.Name)
	f.fresh.Receive(sent, m.Name, rep.Report, f.ledger.Next())
	if rep.Next > f.ledger.Next() && !f.fetching {
		f.fetching = true
		go f.fetch(m)
	}
}

// fetch brings the configuration from a peer that has read further.
func (f *Follower) fetch(m roster.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	f.mu.Lock()
	from := f.ledger.Next()
	if !f.ledger.Ready() {
		from = 0
	}
	f.mu.Unlock()
	answer, err := f.Mesh.Call(ctx, m, message.ConfigRequest{From: from})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
	if err != nil {
		return
	}
	switch a := answer.(type) {
	case message.ConfigRecords:
		for i, raw := range a.Raw {
			if err := f.apply(a.From+uint64(i), raw); err != nil {
				return
			}
		}
	case message.ConfigSnapshot:
		if f.ledger.Restore(a.Snapshot) {
			f.recent = nil
		}
	}
	f.publish()
}

func (f *Follower) listLoop(ctx context.Context) {
	for first := true; first || pause(ctx, listInterval); first = false {
		f.readList(ctx)
	}
}

func (f *Follower) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	list, err := f.List.Read(ctx)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.SetMembers(list.Instances)
	leaving := map[string]bool{}
	for _, u := range list.Upstreams {
		if u.Leaving {
			leaving[u.Name] = true
		}
	}
	f.leavingUpstreams.Store(&leaving)
}
