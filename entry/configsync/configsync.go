// Package configsync keeps an instance's configuration up to date: from the log if
// the instance reads it, else from the peers that do.
package configsync

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/ledger"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/core/workload"
	"crocusfold.dev/entry/configview"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/peerrpc"
	"crocusfold.dev/shell/instances"
	"crocusfold.dev/shell/logstream"
)

// Intervals and limits of the background work.
const (
	reportRequestInterval = 500 * time.Millisecond
	// outageReportInterval is between heartbeats while it is not clear whether the log
	// is down for all.
	outageReportInterval = 100 * time.Millisecond
	reportTimeout        = 400 * time.Millisecond
	heartbeatInterval    = time.Second
	evaluateInterval     = 100 * time.Millisecond
	listInterval         = time.Second
	readWait             = time.Second
	callTimeout          = 1500 * time.Millisecond
	initialBackoff       = 250 * time.Millisecond
	maxBackoff           = time.Second
	// readInterval is the shortest time between two reads of the log.
	readInterval = 250 * time.Millisecond
	// roundsPerRemoteReport is how many heartbeats within the data centre go for one to
	// the other data centres.
	roundsPerRemoteReport = 2
	// maxRelayedProofAge is the age of the proof from which an instance that is no
	// reader turns to the log itself.
	maxRelayedProofAge = 1800 * time.Millisecond
	// recentRecords is how many raw records are kept for peers.
	recentRecords = 1024
	// maxSinceSnapshot is how many records may follow a snapshot.
	maxSinceSnapshot = 50_000
)

// Follower follows the configuration stream. The exported fields must be set
// before Run. It is safe for concurrent use.
type Follower struct {
	Self      roster.Member
	Log       *logstream.Stream
	Instances *instances.List
	Endpoint  *peerrpc.Endpoint
	Logger    log.Logger

	view       atomic.Pointer[configview.View]
	assessment atomic.Pointer[freshness.Assessment]
	leaving    atomic.Bool
	// leavingUpstreams is what the platform's list last said.
	leavingUpstreams atomic.Pointer[map[string]bool]

	mu            sync.Mutex
	ledger        ledger.Ledger
	freshness     freshness.Freshness
	roster        roster.Roster
	recent        [][]byte
	recentFrom    uint64
	builtRevision uint64
	published     chan struct{}
	heartbeats    map[uint64]time.Time
	heartbeatSeq  uint64
	issuer        string
	retention     time.Duration
	lastSnapshot  time.Time
	fetching      bool
	// readFailing belongs to the loop that reads the log.
	readFailing bool
	// loggedStatus is the one that was logged last.
	loggedStatus freshness.Status
}

// View returns the configuration in force; it is empty before the first one.
func (f *Follower) View() *configview.View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &configview.View{}
}

// Freshness returns how far the view can be trusted now. A verdict that was
// reached before a pause of the process is not trusted after it.
func (f *Follower) Freshness(now time.Time) freshness.Status {
	a := f.assessment.Load()
	if a == nil {
		return freshness.CutOff
	}
	return a.Status(now)
}

// AllowsNewWork reports whether new work may be started on the view.
func (f *Follower) AllowsNewWork(now time.Time) bool {
	return f.Freshness(now) != freshness.CutOff
}

// Ready reports whether the instance should get requests from the balancer.
func (f *Follower) Ready(now time.Time) bool {
	return !f.leaving.Load() && f.view.Load() != nil && f.AllowsNewWork(now)
}

// Upstreams returns the upstreams that may get new work of a kind: those of the
// view, less those that the platform lists as leaving.
func (f *Follower) Upstreams(v *configview.View, w workload.Workload) []upstream.Upstream {
	all := v.Upstreams(w)
	accepting := all[:0]
	for _, u := range all {
		if !f.isLeaving(u.Name) {
			accepting = append(accepting, u)
		}
	}
	return accepting
}

// Open reports whether an upstream may get new work now.
func (f *Follower) Open(name string) bool {
	v := f.View()
	u, ok := v.Upstream(name)
	return ok && v.AcceptsWork(u) && !f.isLeaving(name)
}

func (f *Follower) isLeaving(name string) bool {
	leaving := f.leavingUpstreams.Load()
	return leaving != nil && (*leaving)[name]
}

// Leave marks the instance as leaving, so that it gets no duties.
func (f *Follower) Leave() {
	f.leaving.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.Self.Leaving = true
}

// Leaving reports whether the instance is leaving.
func (f *Follower) Leaving() bool { return f.leaving.Load() }

// Live returns the members that may be given duties.
func (f *Follower) Live(now time.Time) []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Live(now)
}

// InRegion returns the other live members of this instance's region.
func (f *Follower) InRegion(now time.Time) []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.InRegion(now)
}

// Peers returns the other listed members.
func (f *Follower) Peers() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Peers()
}

// MarkUnreachable notes that a member did not answer.
func (f *Follower) MarkUnreachable(now time.Time, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.MarkUnreachable(now, name)
}

// Retention returns how long the log keeps records; 0 before the first read.
func (f *Follower) Retention() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retention
}

// Snapshot returns the configuration with its audit trail.
func (f *Follower) Snapshot() change.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Snapshot()
}

// Attach prepares the follower to answer peers. It comes before Run.
func (f *Follower) Attach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.Self = f.Self
	f.published = make(chan struct{})
	f.heartbeats = map[uint64]time.Time{}
	f.issuer = fmt.Sprintf("%s-%d", f.Self.Name, time.Now().UnixNano())
	f.lastSnapshot = time.Now()
	f.freshness.Started = time.Now()
	f.loggedStatus = freshness.CutOff
	f.Endpoint.Handle(f.handle)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){f.readLoop, f.heartbeatLoop, f.reportLoop, f.listLoop, f.evaluateLoop, f.snapshotLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// pause sleeps for d and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// publish replaces the view if a change took effect. The caller holds mu.
func (f *Follower) publish() {
	if !f.ledger.Ready() {
		return
	}
	close(f.published)
	f.published = make(chan struct{})
	f.evaluate(time.Now())
	old := f.view.Load()
	next := f.ledger.Next()
	if next == 0 || (old != nil && next <= old.Offset) {
		return
	}
	if old != nil && f.builtRevision == f.ledger.Revision() {
		return
	}
	f.builtRevision = f.ledger.Revision()
	f.view.Store(configview.New(next, f.ledger.Intent()))
	go f.notifyPeers(next)
}

// notifyPeers tells the peers of the data centre that there is something to fetch.
func (f *Follower) notifyPeers(next uint64) {
	f.mu.Lock()
	peers := f.roster.Local()
	if f.roster.IsPrimaryReader(time.Now()) {
		peers = append(peers, f.roster.RemotePrimaryReaders(time.Now())...)
	}
	f.mu.Unlock()
	for _, m := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			_, _ = f.Endpoint.Call(ctx, m, message.RecordsNotice{Next: next})
		}()
	}
}

func (f *Follower) evaluateLoop(ctx context.Context) {
	for pause(ctx, evaluateInterval) {
		f.mu.Lock()
		f.evaluate(time.Now())
		f.mu.Unlock()
	}
}

// evaluate renews the verdict. An outage is believed only for as long as the
// reports behind it are renewed. The caller holds mu.
func (f *Follower) evaluate(now time.Time) {
	a := f.freshness.Evaluate(now, f.roster.Scope(now))
	if !f.ledger.Ready() {
		// The view is older than the ledger, which waits for a snapshot.
		a = freshness.Assessment{}
	}
	f.assessment.Store(&a)
	if v := a.Status(now); v != f.loggedStatus {
		_ = f.Logger.Log("msg", "The trust in the configuration changed.", "from", f.loggedStatus, "to", v)
		f.loggedStatus = v
	}
}
