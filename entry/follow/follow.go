// Package follow keeps an instance's configuration up to date: from the log if
// the instance reads it, else from the peers that do.
package follow

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
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/instances"
	"crocusfold.dev/shell/logstream"
)

// Intervals and limits of the background work.
const (
	heartbeatInterval = 500 * time.Millisecond
	// doubtInterval is between heartbeats while it is not clear whether the log
	// is down for all.
	doubtInterval  = 100 * time.Millisecond
	heartbeatLimit = 400 * time.Millisecond
	tickInterval   = time.Second
	judgeInterval  = 100 * time.Millisecond
	listInterval   = time.Second
	readWait       = time.Second
	callLimit      = 1500 * time.Millisecond
	backoff        = 250 * time.Millisecond
	maxBackoff     = time.Second
	// readInterval is the shortest time between two reads of the log.
	readInterval = 250 * time.Millisecond
	// remoteEvery is how many heartbeats within the data centre go for one to
	// the other data centres.
	remoteEvery = 2
	// relayStale is the age of the proof from which an instance that is no
	// reader turns to the log itself.
	relayStale = 1800 * time.Millisecond
	// keptRecords is how many raw records are kept for peers.
	keptRecords = 1024
	// snapshotRecords is how many records may follow a snapshot.
	snapshotRecords = 50_000
)

// Follower follows the configuration stream. The exported fields must be set
// before Run. It is safe for concurrent use.
type Follower struct {
	Self   roster.Member
	Log    *logstream.Stream
	List   *instances.List
	Mesh   *mesh.Mesh
	Logger log.Logger

	view      atomic.Pointer[configview.View]
	judgement atomic.Pointer[freshness.Judgement]
	leaving   atomic.Bool
	// leavingUpstreams is what the platform's list last said.
	leavingUpstreams atomic.Pointer[map[string]bool]

	mu         sync.Mutex
	ledger     ledger.Ledger
	fresh      freshness.Freshness
	roster     roster.Roster
	recent     [][]byte
	recentFrom uint64
	built      uint64
	changed    chan struct{}
	ticks      map[uint64]time.Time
	tickSeq    uint64
	tickID     string
	retention  time.Duration
	lastSnap   time.Time
	fetching   bool
	// readFailing belongs to the loop that reads the log.
	readFailing bool
	// lastVerdict is the one that was logged last.
	lastVerdict freshness.Verdict
}

// View returns the configuration in force; it is empty before the first one.
func (f *Follower) View() *configview.View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &configview.View{}
}

// Verdict returns how far the view can be trusted now. A verdict that was
// reached before a pause of the process is not trusted after it.
func (f *Follower) Verdict(now time.Time) freshness.Verdict {
	j := f.judgement.Load()
	if j == nil {
		return freshness.CutOff
	}
	return j.Verdict(now)
}

// MayTakeWork reports whether new work may be started on the view.
func (f *Follower) MayTakeWork(now time.Time) bool {
	return f.Verdict(now) != freshness.CutOff
}

// Ready reports whether the instance should get requests from the balancer.
func (f *Follower) Ready(now time.Time) bool {
	return !f.leaving.Load() && f.view.Load() != nil && f.MayTakeWork(now)
}

// Upstreams returns the upstreams that may get new work of a kind: those of the
// view, less those that the platform lists as leaving.
func (f *Follower) Upstreams(v *configview.View, w workload.Workload) []upstream.Upstream {
	all := v.Upstreams(w)
	open := all[:0]
	for _, u := range all {
		if !f.isLeaving(u.Name) {
			open = append(open, u)
		}
	}
	return open
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

// Near returns the other live members of this instance's region.
func (f *Follower) Near(now time.Time) []roster.Member {
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

// Failed notes that a member did not answer.
func (f *Follower) Failed(now time.Time, name string) {
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
	f.changed = make(chan struct{})
	f.ticks = map[uint64]time.Time{}
	f.tickID = fmt.Sprintf("%s-%d", f.Self.Name, time.Now().UnixNano())
	f.lastSnap = time.Now()
	f.fresh.Started = time.Now()
	f.lastVerdict = freshness.CutOff
	f.Mesh.Handle(f.handle)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){f.readLoop, f.tickLoop, f.heartbeatLoop, f.listLoop, f.judgeLoop, f.snapshotLoop} {
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
	close(f.changed)
	f.changed = make(chan struct{})
	f.judge(time.Now())
	old := f.view.Load()
	next := f.ledger.Next()
	if next == 0 || (old != nil && next <= old.Offset) {
		return
	}
	if old != nil && f.built == f.ledger.Revision() {
		return
	}
	f.built = f.ledger.Revision()
	f.view.Store(configview.New(next, f.ledger.Intent()))
	go f.nudge(next)
}

// nudge tells the peers of the data centre that there is something to fetch.
func (f *Follower) nudge(next uint64) {
	f.mu.Lock()
	near := f.roster.Local()
	if f.roster.IsPrimaryReader(time.Now()) {
		near = append(near, f.roster.RemotePrimaryReaders(time.Now())...)
	}
	f.mu.Unlock()
	for _, m := range near {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), heartbeatLimit)
			defer cancel()
			_, _ = f.Mesh.Call(ctx, m, message.Nudge{Next: next})
		}()
	}
}

func (f *Follower) judgeLoop(ctx context.Context) {
	for pause(ctx, judgeInterval) {
		f.mu.Lock()
		f.judge(time.Now())
		f.mu.Unlock()
	}
}

// judge renews the verdict. An outage is believed only for as long as the
// reports behind it are renewed. The caller holds mu.
func (f *Follower) judge(now time.Time) {
	j := f.fresh.Judge(now, f.roster.Scope(now))
	if !f.ledger.Ready() {
		// The view is older than the ledger, which waits for a snapshot.
		j = freshness.Judgement{}
	}
	f.judgement.Store(&j)
	if v := j.Verdict(now); v != f.lastVerdict {
		_ = f.Logger.Log("msg", "The trust in the configuration changed.", "from", f.lastVerdict, "to", v)
		f.lastVerdict = v
	}
}
