package configsync

import (
	"context"
	"errors"
	"syscall"
	"time"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
)

// reportLoop requests reports from peers. They carry the peers' proofs, and show
// whether the log is down for all instances.
func (f *Follower) reportLoop(ctx context.Context) {
	for n := 0; pause(ctx, f.reportPause(time.Now())); n++ {
		for _, m := range f.reportPeers(time.Now(), n) {
			go f.requestReport(ctx, m)
		}
	}
}

// reportPeers returns the members that get a request for a report in the n-th round:
// those of the data centre, and at its primary reader also the primary readers of the
// other data centres, in one of roundsPerRemoteReport rounds and while an outage is
// unconfirmed.
func (f *Follower) reportPeers(now time.Time, n int) []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.roster.Local()
	unconfirmed := f.freshness.OutageUnconfirmed(now, f.roster.Scope(now))
	if f.roster.IsPrimaryReader(now) && (unconfirmed || n%roundsPerRemoteReport == 0) {
		members = append(members, f.roster.RemotePrimaryReaders(now)...)
	}
	return members
}

func (f *Follower) reportPause(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshness.OutageUnconfirmed(now, f.roster.Scope(now)) {
		return outageReportInterval
	}
	return reportRequestInterval
}

// requestReport requests a member's report and merges it. If the member has read
// further, its records are fetched.
func (f *Follower) requestReport(ctx context.Context, m roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := time.Now()
	rep, err := peerrpc.Call[message.Report](ctx, f.Endpoint, m, message.ReportQuery{})
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
	f.freshness.Receive(sent, m.Name, rep.Report, f.ledger.Next())
	if rep.Next > f.ledger.Next() && !f.fetching {
		f.fetching = true
		go f.fetch(m)
	}
}

// fetch requests the records or the snapshot that this instance lacks from a peer that
// has read further, and applies them. The caller has set fetching, which fetch resets.
func (f *Follower) fetch(m roster.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	f.mu.Lock()
	from := f.ledger.Next()
	if !f.ledger.Ready() {
		from = 0
	}
	f.mu.Unlock()
	resp, err := f.Endpoint.Call(ctx, m, message.ConfigRequest{From: from})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
	if err != nil {
		return
	}
	switch r := resp.(type) {
	case message.ConfigRecords:
		for i, raw := range r.Raw {
			if err := f.apply(r.From+uint64(i), raw); err != nil {
				return
			}
		}
	case message.ConfigSnapshot:
		if f.ledger.Restore(r.Snapshot) {
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

// readList updates the members and the leaving upstreams from the platform's list. If
// the list can't be read, they stay as they are.
func (f *Follower) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := f.Instances.List(ctx)
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
