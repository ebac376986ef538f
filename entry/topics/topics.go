// Package topics follows the platform's topics: what the operators ask for, the
// replicas and the instances.
package topics

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/shell/clock"
)

// Times of following a topic.
const (
	// operationsWait is how long a read of the operators' records waits. Each
	// answer proves that the view was complete when the read was sent, so the
	// newest proof is up to twice as old.
	operationsWait = 800 * time.Millisecond
	// maxProofAge is the age of the proof from which an instance reads the
	// operators' records itself in place of the readers. It is
	// more than twice operationsWait and less than the age at which the instance
	// turns unready.
	maxProofAge = 2400 * time.Millisecond
	// peerViewsWait is how long a new instance waits for the views of its peers before
	// it reads them itself.
	peerViewsWait = 1500 * time.Millisecond
	// staleAfter is the age of a proof from which a peer's view is asked for.
	staleAfter = time.Second
	// replicasWait is how long a read of the list of replicas waits, and
	// upstreamsEvery the least pause between two reads.
	replicasWait         = 600 * time.Millisecond
	replicasReadInterval = 120 * time.Millisecond
	// minCheckInterval and followedLongest bound the pause between two looks whether
	// to read a topic that another instance reads.
	minCheckInterval = 50 * time.Millisecond
	maxCheckInterval = 400 * time.Millisecond
	// instancesCheckInterval is that pause for the list of instances.
	instancesCheckInterval = time.Second
	// replicasMargin is taken off the time in which a leaving replica must be known
	// everywhere; an instance whose list is older reads it itself in place of the
	// readers. What is left is more than twice upstreamsWait.
	replicasMargin = 200 * time.Millisecond
	// instancesWait is how long a read of the list of instances waits.
	instancesWait = 20 * time.Second
	// initialBackoff and longestBackoff bound the pause after a failed read, and
	// followerBackoff that of an instance that is not the reader.
	initialBackoff   = 60 * time.Millisecond
	maxReaderBackoff = 600 * time.Millisecond
	maxBackoff       = 1200 * time.Millisecond
	// minOutage is the time without an answer to failed reads from which entries
	// may have lapsed although their replicas live.
	minOutage = 1500 * time.Millisecond
	// rewriteTime is how long replicas have to write their entries again.
	rewriteTime = 2200 * time.Millisecond
)

const topicCount = 3

// readWaits has how long a read of each topic waits.
var readWaits = map[adapter.Topic]time.Duration{
	adapter.Operations: operationsWait, adapter.Replicas: replicasWait, adapter.Instances: instancesWait,
}

// Topics is the view of all topics. The exported fields must be set before Run.
type Topics struct {
	Log     adapter.Log
	Decoder adapter.Decoder
	Now     func() time.Time
	Logger  log.Logger
	Bounds  *edgeconfig.LiveBounds
	// OnReplicas takes changes of the list of replicas. Removals take effect
	// at removeAt.
	OnReplicas func(now time.Time, changed []topicview.Record, removeAt time.Time)
	// OnInstances takes changes of the list of instances.
	OnInstances func(changed []topicview.Record)
	// IsReader reports whether this instance reads the topics for all; the others take
	// them from peers while they are fresh.
	IsReader func(now time.Time) bool
	// Isolated reports whether no other instance answers this one.
	Isolated func() bool
	// OnAdvance is called when a topic that this instance read has advanced.
	OnAdvance func()
	// OnIntent takes a new intent.
	OnIntent func(in *adapter.Intent)

	mu     sync.Mutex
	views  [topicCount]topicview.View
	intent atomic.Pointer[adapter.Intent]
	// recoveredAt is when the list of replicas was first read after an outage, and
	// failed is true from a failed read until then.
	recoveredAt        time.Time
	replicasReadFailed bool
	// operationsReadFailed is true after a read of the operators' records that failed.
	operationsReadFailed bool
	startedAt            time.Time
	// instancesRequested is true if the list of instances is to be read although another
	// instance follows it.
	instancesRequested bool
}

// Intent returns the intent in force, or nil if none is known yet.
func (t *Topics) Intent() *adapter.Intent { return t.intent.Load() }

// Run follows all topics until ctx ends.
func (t *Topics) Run(ctx context.Context) {
	t.mu.Lock()
	t.startedAt = t.Now()
	t.mu.Unlock()
	var wg sync.WaitGroup
	for _, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas, adapter.Instances} {
		wg.Go(func() { t.follow(ctx, topic) })
	}
	wg.Wait()
}

func (t *Topics) follow(ctx context.Context, topic adapter.Topic) {
	backoff := initialBackoff
	healthy := true
	for ctx.Err() == nil {
		err := t.readOnce(ctx, topic)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != healthy {
			healthy = err == nil
			t.logReachability(topic, err)
		}
		if err != nil {
			t.recordReadResult(topic, err)
			clock.Pause(ctx, backoff)
			longest := maxReaderBackoff
			if !t.IsReader(t.Now()) {
				longest = maxBackoff
			}
			backoff = min(2*backoff, longest)
			continue
		}
		backoff = initialBackoff
		clock.Pause(ctx, t.pause(topic))
	}
}

func (t *Topics) logReachability(topic adapter.Topic, err error) {
	if err != nil {
		_ = t.Logger.Log("msg", "Lost the platform's log.", "topic", topic, "err", err)
		return
	}
	_ = t.Logger.Log("msg", "The platform's log answers again.", "topic", topic)
}

// readOnce reads a topic once, if it is this instance's to read.
func (t *Topics) readOnce(ctx context.Context, topic adapter.Topic) error {
	sent := t.Now()
	read, wait := t.shouldRead(sent, topic)
	if !read {
		return nil
	}
	t.mu.Lock()
	loaded, next := t.views[topic].Loaded(), t.views[topic].Next()
	t.mu.Unlock()
	if !loaded {
		return t.load(ctx, topic, sent)
	}
	records, end, err := t.Log.Read(ctx, topic, next, wait)
	if errors.Is(err, adapter.ErrOffsetExpired) {
		return t.load(ctx, topic, sent)
	}
	if err != nil {
		return err
	}
	t.applyChange(topic, sent, end, func(f *topicview.View) []topicview.Record { return f.Apply(records, end) })
	t.recordReadResult(topic, nil)
	if end > next {
		t.OnAdvance()
	}
	return nil
}

// ReachesLog reports whether this instance itself reaches the platform's log, as far as
// its last read of the operators' records shows.
func (t *Topics) ReachesLog() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.operationsReadFailed
}

// recordReadResult notes how a read ended.
func (t *Topics) recordReadResult(topic adapter.Topic, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch topic {
	case adapter.Operations:
		t.operationsReadFailed = err != nil
	case adapter.Replicas:
		t.replicasReadFailed = t.replicasReadFailed || err != nil
	}
}

func (t *Topics) load(ctx context.Context, topic adapter.Topic, sent time.Time) error {
	records, end, err := t.Log.Newest(ctx, topic)
	if err != nil {
		return err
	}
	t.applyChange(topic, sent, end, func(f *topicview.View) []topicview.Record { return f.Replace(records, end) })
	t.recordReadResult(topic, nil)
	t.OnAdvance()
	return nil
}

// applyChange applies a change to a view that was complete at proven.
func (t *Topics) applyChange(topic adapter.Topic, proven time.Time, end uint64, change func(*topicview.View) []topicview.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.views[topic]
	before := f.Proof()
	changed := change(f)
	f.RecordProof(proven, end)
	now := t.Now()
	if topic == adapter.Replicas {
		if t.replicasReadFailed && !before.IsZero() && proven.Sub(before) > minOutage {
			t.recoveredAt = now
		}
		t.replicasReadFailed = false
	}
	if len(changed) == 0 {
		return
	}
	switch topic {
	case adapter.Operations:
		t.updateIntent(f)
	case adapter.Replicas:
		t.OnReplicas(now, changed, t.removeAt(now))
	case adapter.Instances:
		t.OnInstances(changed)
	}
}

// removeAt returns when a replica whose entry is missing is taken as gone.
// Entries may lapse in an outage, and are written again soon after it.
func (t *Topics) removeAt(now time.Time) time.Time {
	if t.recoveredAt.IsZero() || now.Sub(t.recoveredAt) >= rewriteTime {
		return now
	}
	return t.recoveredAt.Add(rewriteTime)
}

func (t *Topics) updateIntent(f *topicview.View) {
	in, err := t.Decoder.Intent(f.Records())
	if err != nil {
		_ = t.Logger.Log("msg", "The operators' records are not usable; the intent stays.", "next", f.Next(), "err", err)
		return
	}
	if old := t.intent.Load(); old != nil && in.Table.Version < old.Table.Version {
		_ = t.Logger.Log("msg", "Ignored an older configuration.", "version", in.Table.Version, "in-force", old.Table.Version)
		in.Table = old.Table
	}
	t.intent.Store(&in)
	_ = t.Logger.Log("msg", "An intent is in force.", "version", in.Table.Version, "next", f.Next(), "closed", len(in.ClosedDataCentres))
	t.OnIntent(&in)
}

// ProofAge returns how old the proof is that the operators' records are
// complete here; ok is false if there is none.
func (t *Topics) ProofAge(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	proof := t.views[adapter.Operations].Proof()
	return now.Sub(proof), !proof.IsZero()
}
