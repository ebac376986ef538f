// Package configsync keeps an instance's configuration up to date: from the log if the
// instance reads it, otherwise from the peers that do. It also determines how far the
// configuration can be trusted.
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

// Intervals, timeouts and limits of the background work.
const (
	// reportRequestInterval is the pause between two rounds of report requests.
	reportRequestInterval = 500 * time.Millisecond
	// outageReportInterval replaces reportRequestInterval while the log seems down to
	// this instance but not yet to all others.
	outageReportInterval = 100 * time.Millisecond
	// reportTimeout limits a request for a report and a notice of new records.
	reportTimeout = 400 * time.Millisecond
	// heartbeatInterval is the pause between two heartbeat records.
	heartbeatInterval = time.Second
	evaluateInterval  = 100 * time.Millisecond
	// listInterval is the pause between two reads of the platform's list, and between
	// two checks whether a snapshot is due.
	listInterval = time.Second
	// readWait is how long a read of the log waits for new records.
	readWait    = time.Second
	callTimeout = 1500 * time.Millisecond
	// initialBackoff is the pause after the first failed read in a row, which doubles
	// up to maxBackoff. It is also the pause between checks whether the log must be
	// read.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = time.Second
	// readInterval is the minimum time between the starts of two reads of the log.
	readInterval = 250 * time.Millisecond
	// roundsPerRemoteReport is the number of rounds of report requests of which one
	// includes the other data centres.
	roundsPerRemoteReport = 2
	// maxRelayedProofAge is the age of the newest proof above which an instance reads
	// the log and appends heartbeat records itself, whether or not it is a reader.
	maxRelayedProofAge = 1800 * time.Millisecond
	// recentRecords is the maximum number of raw records in one response to a peer. Up to
	// twice as many are retained for peers; above that, the oldest recentRecords are
	// dropped.
	recentRecords = 1024
	// maxSinceSnapshot is the number of records after a snapshot above which the next
	// one is due.
	maxSinceSnapshot = 50_000
)

// Follower follows the configuration stream. The exported fields must be set before
// Attach, and Attach must be called before Run. It is safe for concurrent use.
type Follower struct {
	Self roster.Member
	// Log is the stream of the platform's log that holds the configuration.
	Log *logstream.Stream
	// Instances is the platform's list of instances and upstreams.
	Instances *instances.Client
	Endpoint  *peerrpc.Endpoint
	Logger    log.Logger

	view       atomic.Pointer[configview.View]
	assessment atomic.Pointer[freshness.Assessment]
	leaving    atomic.Bool
	// leavingUpstreams holds the upstreams that the platform's list marked as leaving
	// at its last successful read.
	leavingUpstreams atomic.Pointer[map[string]bool]

	// mu guards the fields below, except readFailing.
	mu        sync.Mutex
	ledger    ledger.Ledger
	freshness freshness.Freshness
	roster    roster.Roster
	// recent holds the raw records from the offset recentFrom on, for peers.
	recent     [][]byte
	recentFrom uint64
	// builtRevision is the revision of the ledger that the view was built from.
	builtRevision uint64
	// published is closed and replaced by each call of publish with a complete ledger.
	published chan struct{}
	// heartbeats maps the sequence numbers of this process's heartbeat records that
	// have not been read back to the times when their appends began.
	heartbeats   map[uint64]time.Time
	heartbeatSeq uint64
	// issuer identifies this process in its heartbeat records.
	issuer string
	// retention is how long the log keeps records; 0 before the first read.
	retention time.Duration
	// lastSnapshot is when the last snapshot was read from the log, or Attach was called.
	lastSnapshot time.Time
	// fetching is true while records are fetched from a peer.
	fetching bool
	// readFailing is used only by readLoop.
	readFailing bool
	// loggedStatus is the status of the view that was logged last.
	loggedStatus freshness.Status
}

// View returns the configuration in force. It is empty until the first configuration
// is loaded.
func (f *Follower) View() *configview.View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &configview.View{}
}

// Freshness returns how far the view can be trusted at a time; CutOff before the first
// assessment. An assessment expires, so that one made before a pause of the process
// does not count after it.
func (f *Follower) Freshness(now time.Time) freshness.Status {
	a := f.assessment.Load()
	if a == nil {
		return freshness.CutOff
	}
	return a.Status(now)
}

// AllowsNewWork reports whether new work may be started with the view, that is, unless
// other instances may have a newer configuration.
func (f *Follower) AllowsNewWork(now time.Time) bool {
	return f.Freshness(now) != freshness.CutOff
}

// Ready reports whether the load balancer should send requests to the instance: it has
// a view, allows new work and is not leaving.
func (f *Follower) Ready(now time.Time) bool {
	return !f.leaving.Load() && f.view.Load() != nil && f.AllowsNewWork(now)
}

// Upstreams returns the upstreams that may get new requests for a workload: those that
// the view has for it, except for those that the platform lists as leaving.
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

// AcceptsWork reports whether an upstream may get new requests: it is in the view,
// neither it nor its data centre is drained, and the platform does not list it as
// leaving.
func (f *Follower) AcceptsWork(name string) bool {
	v := f.View()
	u, ok := v.Upstream(name)
	return ok && v.AcceptsWork(u) && !f.isLeaving(name)
}

func (f *Follower) isLeaving(name string) bool {
	leaving := f.leavingUpstreams.Load()
	return leaving != nil && (*leaving)[name]
}

// Leave marks the instance as leaving, so that it is not ready and gets no tasks.
func (f *Follower) Leave() {
	f.leaving.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.Self.Leaving = true
}

// Leaving reports whether Leave was called.
func (f *Follower) Leaving() bool { return f.leaving.Load() }

// Live returns the members that may be given tasks, such as those of the owner of an
// account or the controller of an upstream: the members that are neither leaving nor
// unreachable, including this instance unless it is leaving.
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

// Peers returns the other listed members, including unreachable ones.
func (f *Follower) Peers() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Peers()
}

// MarkUnreachable records that a call to a member failed. Live leaves the member out
// for some time or until a report from it arrives.
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

// Snapshot returns the state of the ledger: the configuration with its audit trail.
func (f *Follower) Snapshot() change.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Snapshot()
}

// Attach initialises the follower and registers its handler for messages of peers. It
// must be called once, before Run.
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

// Run keeps the configuration up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){f.readLoop, f.heartbeatLoop, f.reportLoop, f.listLoop, f.evaluateLoop, f.snapshotLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// pause waits for d or until ctx ends, and reports whether ctx is still valid.
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

// publish wakes those that wait for published, replaces the view if a change took effect,
// and renews the assessment. It does nothing while the ledger is incomplete. The
// caller holds mu.
func (f *Follower) publish() {
	if !f.ledger.Ready() {
		return
	}
	close(f.published)
	f.published = make(chan struct{})
	// The assessment is of the ledger. Published before the view, it would admit requests
	// by the previous one.
	defer func() { f.evaluate(time.Now()) }()
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

// notifyPeers sends a notice of new records to the peers of the data centre. The
// primary reader also sends it to the primary readers of the other data centres.
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

// evaluate renews the assessment of the view and logs a change of its status. The log
// counts as down only for as long as the peers' reports of the outage are renewed. The
// caller holds mu.
func (f *Follower) evaluate(now time.Time) {
	a := f.freshness.Evaluate(now, f.roster.Scope(now))
	if !f.ledger.Ready() {
		// The proofs are of the ledger, which waits for a snapshot; the view is older.
		a = freshness.Assessment{}
	}
	f.assessment.Store(&a)
	if v := a.Status(now); v != f.loggedStatus {
		_ = f.Logger.Log("msg", "The status of the configuration changed.", "from", f.loggedStatus, "to", v)
		f.loggedStatus = v
	}
}
