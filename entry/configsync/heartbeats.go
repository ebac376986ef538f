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

func (f *Follower) reportLoop(ctx context.Context) {
	for n := 0; pause(ctx, f.reportPause(time.Now())); n++ {
		for _, m := range f.reportPeers(time.Now(), n) {
			go f.requestReport(ctx, m)
		}
	}
}

// reportPeers returns the members for the n-th round of heartbeats: those of the data
// centre, and for its speaker now and then those of the other ones.
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

// fetch brings the configuration from a peer that has read further.
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

func (f *Follower) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := f.Instances.Read(ctx)
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
