// Package follow keeps an instance's configuration up to date: from the log if
// the instance reads it, else from the peers that do.
package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/freshness"
	"crocusfold.dev/core/ledger"
	"crocusfold.dev/core/roster"
	"crocusfold.dev/entry/mesh"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/view"
	"crocusfold.dev/platform/codec"
	"crocusfold.dev/platform/instances"
	"crocusfold.dev/platform/logstream"
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

	view      atomic.Pointer[view.View]
	judgement atomic.Pointer[freshness.Judgement]
	leaving   atomic.Bool

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
func (f *Follower) View() *view.View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &view.View{}
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
	return f.roster.Near(now)
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
	f.roster.Failed(now, name)
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

// readsLog reports whether this instance must read the log itself: it is one
// of its data centre's readers, or the readers' word is late.
func (f *Follower) readsLog(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.fresh.ProofAge(now)
	return f.roster.IsReader(now) || age < 0 || age > relayStale
}

func (f *Follower) readLoop(ctx context.Context) {
	wait := backoff
	for ctx.Err() == nil {
		if !f.readsLog(time.Now()) {
			pause(ctx, backoff)
			continue
		}
		began := time.Now()
		err := f.readOnce(ctx)
		f.noteReading(err)
		if err == nil {
			wait = backoff
			pause(ctx, readInterval-time.Since(began))
			continue
		}
		pause(ctx, wait)
		wait = min(2*wait, maxBackoff)
	}
}

// noteReading logs when reading begins to fail and when it works again.
func (f *Follower) noteReading(err error) {
	switch {
	case err != nil && !f.readFailing:
		_ = f.Logger.Log("msg", "Reading the configuration stream failed.", "err", err)
	case err == nil && f.readFailing:
		_ = f.Logger.Log("msg", "The configuration stream can be read again.")
	}
	f.readFailing = err != nil
}

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	from := f.ledger.Next()
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readWait+callLimit)
	defer cancel()
	page, err := f.Log.Read(ctx, from, readWait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retention = page.Retention
	if page.Oldest > f.ledger.Next() {
		f.skip(page.Oldest)
	}
	for _, rec := range page.Records {
		if err := f.apply(rec.Offset, rec.Data); err != nil {
			return err
		}
	}
	f.publish()
	return nil
}

// skip starts again at the oldest record. A ledger that fell behind the log's
// retention forgets its state; the view stays until a complete one replaces it.
func (f *Follower) skip(oldest uint64) {
	if err := f.ledger.Skip(oldest); err != nil {
		_ = f.Logger.Log("msg", "The configuration expired before it was read; waiting for a snapshot.", "err", err)
		f.ledger.Reset()
		f.built = 0
		_ = f.ledger.Skip(oldest)
	}
	f.recent = nil
}

// apply takes one raw record. The caller holds mu.
func (f *Follower) apply(offset uint64, raw []byte) error {
	if offset < f.ledger.Next() {
		return nil
	}
	rec, err := codec.Changes.Decode(raw)
	if err != nil {
		// Every reader skips a record that can't be read, so all stay alike.
		_ = f.Logger.Log("msg", "Skipped a record that can't be read.", "offset", offset, "err", err)
		rec = change.Tick{}
	}
	out, err := f.ledger.Apply(offset, rec)
	if err != nil {
		return fmt.Errorf("following the configuration stream: %w", err)
	}
	f.keep(offset, raw)
	switch rec := rec.(type) {
	case change.Tick:
		f.readTick(rec)
	case change.Snapshot:
		f.lastSnap = time.Now()
	case change.Change:
		_ = f.Logger.Log("msg", "Read a change.", "id", rec.ID, "offset", offset, "verdict", out.Verdict, "detail", out.Detail)
	}
	return nil
}

func (f *Follower) readTick(t change.Tick) {
	began, ok := f.ticks[t.Seq]
	if !ok || t.Issuer != f.tickID {
		return
	}
	f.fresh.Prove(began)
	for seq := range f.ticks {
		if seq <= t.Seq {
			delete(f.ticks, seq)
		}
	}
}

func (f *Follower) keep(offset uint64, raw []byte) {
	if f.recentFrom+uint64(len(f.recent)) != offset {
		f.recent = nil
	}
	if len(f.recent) == 0 {
		f.recentFrom = offset
	}
	f.recent = append(f.recent, raw)
	if len(f.recent) > 2*keptRecords {
		f.recent = append([][]byte(nil), f.recent[keptRecords:]...)
		f.recentFrom += keptRecords
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
	if old != nil && f.built == f.ledger.Changes() {
		return
	}
	f.built = f.ledger.Changes()
	f.view.Store(view.New(next, f.ledger.Intent()))
	go f.nudge(next)
}

// nudge tells the peers of the data centre that there is something to fetch.
func (f *Follower) nudge(next uint64) {
	f.mu.Lock()
	near := f.roster.Local()
	if f.roster.Speaks(time.Now()) {
		near = append(near, f.roster.Speakers(time.Now())...)
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

func (f *Follower) tickLoop(ctx context.Context) {
	for first := true; first || pause(ctx, tickInterval); first = false {
		if f.appendsTicks(time.Now()) {
			f.tick(ctx)
		}
	}
}

// appendsTicks reports whether this instance must prove its view by ticks of its
// own: it speaks for its data centre, or the speaker's word is late.
func (f *Follower) appendsTicks(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.fresh.ProofAge(now)
	return f.roster.Speaks(now) || age < 0 || age > relayStale
}

func (f *Follower) tick(ctx context.Context) {
	f.mu.Lock()
	f.tickSeq++
	seq := f.tickSeq
	f.ticks[seq] = time.Now()
	for old := range f.ticks {
		if old+10 < seq {
			delete(f.ticks, old)
		}
	}
	f.mu.Unlock()
	raw, err := codec.Changes.Encode(change.Tick{Issuer: f.tickID, Seq: seq})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, _ = f.Log.Append(ctx, raw)
}

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
	doubt := f.fresh.Doubtful(now, f.roster.Scope(now))
	if (f.roster.Speaks(now) || doubt) && (doubt || n%remoteEvery == 0) {
		members = append(members, f.roster.Speakers(now)...)
	}
	return members
}

func (f *Follower) heartbeatPause(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fresh.Doubtful(now, f.roster.Scope(now)) {
		return doubtInterval
	}
	return heartbeatInterval
}

func (f *Follower) heartbeat(ctx context.Context, m roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatLimit)
	defer cancel()
	sent := time.Now()
	rep, err := mesh.Ask[message.Report](ctx, f.Mesh, m, message.Heartbeat{})
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			f.roster.Gone(now, m.Name)
		} else {
			f.roster.Failed(now, m.Name)
		}
		return
	}
	f.roster.Answered(m.Name)
	f.fresh.Hear(sent, m.Name, rep.Report, f.ledger.Next())
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
	answer, err := f.Mesh.Call(ctx, m, message.Fetch{From: from})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
	if err != nil {
		return
	}
	switch a := answer.(type) {
	case message.Records:
		for i, raw := range a.Raw {
			if err := f.apply(a.From+uint64(i), raw); err != nil {
				return
			}
		}
	case message.Copy:
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
	members, err := f.List.Read(ctx)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.List(members)
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
	f.judgement.Store(&j)
	if v := j.Verdict(now); v != f.lastVerdict {
		_ = f.Logger.Log("msg", "The trust in the configuration changed.", "from", f.lastVerdict, "to", v)
		f.lastVerdict = v
	}
}

// snapshotLoop writes what is in force again before its records expire. One
// instance does so at a quarter of the retention; any reader does at a half.
func (f *Follower) snapshotLoop(ctx context.Context) {
	for pause(ctx, listInterval) {
		f.mu.Lock()
		now := time.Now()
		age := now.Sub(f.lastSnap)
		owner, _ := roster.Owner("config-snapshot", f.roster.Live(now))
		mine := owner.Name == f.Self.Name
		known := f.retention > 0 && f.ledger.Ready() && f.ledger.Next() > 0
		due := mine && (age > f.retention/4 || f.ledger.SinceSnapshot() > snapshotRecords)
		late := age > f.retention/2 && f.roster.IsReader(now)
		snap := f.ledger.Snapshot()
		f.mu.Unlock()
		if known && (due || late) {
			f.writeSnapshot(ctx, snap)
		}
	}
}

func (f *Follower) writeSnapshot(ctx context.Context, snap change.Snapshot) {
	raw, err := codec.Changes.Encode(snap)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if _, err := f.Log.Append(ctx, raw); err == nil {
		_ = f.Logger.Log("msg", "Wrote a snapshot of the configuration.", "next", snap.Next)
	}
}
