// Package topics maintains the views of the platform's topics: the operators' records,
// the list of replicas and the list of instances. A few instances, the readers, read
// the topics from the platform's log; the others merge what they receive from peers.
package topics

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/edgeconfig"
	"crocusfold.dev/entry/sharedcall"
	"crocusfold.dev/shell/clock"
)

// Times of reading the topics.
const (
	// operationsWait is how long a read of the operators' records waits for new ones. A
	// response proves that the view was complete when the read was sent, so the newest
	// proof is up to twice as old as this.
	operationsWait = 800 * time.Millisecond
	// maxProofAge is the age of the proof from which an instance that is not a reader
	// reads the operators' records itself. It is more than twice operationsWait, the
	// age that the proof may reach at a reader, and less than the age at which the
	// instance becomes unready.
	maxProofAge = 2400 * time.Millisecond
	// peerViewsWait is how long a new instance waits for the views of its peers before
	// it reads the topics itself.
	peerViewsWait = 1500 * time.Millisecond
	// staleAfter is the age of the proof from which even a reader requests missing
	// records from a peer.
	staleAfter = time.Second
	// replicasWait is how long a read of the list of replicas waits for changes, and
	// replicasReadInterval the shortest pause between two reads.
	replicasWait         = 600 * time.Millisecond
	replicasReadInterval = 120 * time.Millisecond
	// minCheckInterval and maxCheckInterval bound the pause after which an instance
	// that is not a reader checks again whether to read a topic.
	minCheckInterval = 50 * time.Millisecond
	maxCheckInterval = 400 * time.Millisecond
	// instancesCheckInterval is that pause for the list of instances.
	instancesCheckInterval = time.Second
	// replicasMargin is subtracted from the time within which all instances must know
	// that a replica drains. An instance that is not a reader reads the list of
	// replicas itself once its proof is older than the difference. The difference is
	// more than twice replicasWait.
	replicasMargin = 200 * time.Millisecond
	// instancesWait is how long a read of the list of instances waits for changes.
	instancesWait = 20 * time.Second
	// initialBackoff is the pause after the first failed read. It doubles with each
	// further failure, up to maxReaderBackoff at a reader and maxBackoff at another
	// instance.
	initialBackoff   = 60 * time.Millisecond
	maxReaderBackoff = 600 * time.Millisecond
	maxBackoff       = 1200 * time.Millisecond
	// maxPages bounds the responses of a read that is not over, before it pauses.
	maxPages = 64
	// confirmTimeout bounds a read of ConfirmReplicas.
	confirmTimeout = 300 * time.Millisecond
	// minOutage is the time between two proofs of the list of replicas, with a failed
	// read in between, from which entries may have expired although their replicas are
	// alive.
	minOutage = 1500 * time.Millisecond
	// rewriteTime is how long after such an outage the replicas may take to write their
	// entries again.
	rewriteTime = 2200 * time.Millisecond
)

// Errors of reads that bring no complete view.
var (
	// errOutdated means that a list of all records ends before the records that are known.
	errOutdated = errors.New("the list of records is outdated")
	// errIncomplete means that the topic has more records than were read.
	errIncomplete = errors.New("the topic goes on")
)

const topicCount = 3

// readWaits has how long a reader's read of each topic waits for new records.
var readWaits = map[adapter.Topic]time.Duration{
	adapter.Operations: operationsWait, adapter.Replicas: replicasWait, adapter.Instances: instancesWait,
}

// Topics holds the views of all topics. The exported fields must be set before Run. It
// is safe for concurrent use.
type Topics struct {
	Log     adapter.Log
	Decoder adapter.Decoder
	Now     func() time.Time
	Logger  log.Logger
	Bounds  *edgeconfig.LiveBounds
	// OnReplicas is called with changes of the list of replicas. Removals take effect
	// at removeAt.
	OnReplicas func(now time.Time, changed []topicview.Record, removeAt time.Time)
	// OnInstances is called with changes of the list of instances.
	OnInstances func(changed []topicview.Record)
	// IsReader reports whether this instance reads the topics on behalf of others. An
	// instance that is not a reader merges the views of its peers, and reads a topic
	// itself only while these are missing or not fresh.
	IsReader func(now time.Time) bool
	// Isolated reports whether no peer is responsive.
	Isolated func() bool
	// OnAdvance is called when a topic that this instance read from the log has
	// advanced.
	OnAdvance func()
	// OnIntent is called when an intent takes effect.
	OnIntent func(in *adapter.Intent)
	// OnListLoaded is called when this instance has the list of replicas for the first time.
	// If complete is true, records are all records that the list ever had.
	OnListLoaded func(now time.Time, records []topicview.Record, complete bool)
	// OnRestore is called when the log has come back from a copy, so that what this instance
	// wrote may be lost.
	OnRestore func()

	mu    sync.Mutex
	views [topicCount]topicview.View
	// intent is the intent in force, nil before there is one.
	intent *adapter.Intent
	// proven is what callers of Proven get. It is published before the lock is released
	// after a change of views or restore.
	proven atomic.Pointer[Proven]
	// recoveredAt is when an instance first read the list of replicas after the latest
	// outage. replicasReadFailed is true from a failed read of that list until it is
	// next read or updated from a peer's records.
	recoveredAt        time.Time
	replicasReadFailed bool
	// operationsReadFailed is true if the last read of the operators' records failed.
	operationsReadFailed bool
	startedAt            time.Time
	restore              restore
	// ignored has the positions of the records that were last logged as ignored, by key.
	ignored map[string]topicview.Position
	// instancesRequested is set by RequestInstances.
	instancesRequested bool
	// confirming is the shared read of ConfirmReplicas.
	confirming sharedcall.SharedCall
}

// Intent returns the intent in force, or nil if there is none yet.
func (t *Topics) Intent() *adapter.Intent { return t.Proven().Intent }

// Run maintains the views of all topics until ctx ends.
func (t *Topics) Run(ctx context.Context) {
	t.mu.Lock()
	t.startedAt = t.Now()
	for i := range t.views {
		topic := adapter.Topic(i)
		t.views[i].Newer = func(held, rec topicview.Record) (newer, known bool) { return t.Decoder.Newer(topic, held, rec) }
	}
	t.mu.Unlock()
	var wg sync.WaitGroup
	for _, topic := range []adapter.Topic{adapter.Operations, adapter.Replicas, adapter.Instances} {
		wg.Go(func() { t.follow(ctx, topic) })
	}
	wg.Wait()
}

// follow reads one topic, whenever that is due, until ctx ends.
func (t *Topics) follow(ctx context.Context, topic adapter.Topic) {
	backoff := initialBackoff
	healthy := true
	for ctx.Err() == nil {
		t.releaseHeld(topic)
		read, err := t.readOnce(ctx, topic)
		if ctx.Err() != nil {
			return
		}
		if read && (err == nil) != healthy {
			healthy = err == nil
			t.logReachability(topic, err)
		}
		if err != nil {
			if !errors.Is(err, errOutdated) {
				t.recordReadResult(topic, err)
			}
			clock.Pause(ctx, backoff)
			limit := maxReaderBackoff
			if !t.IsReader(t.Now()) {
				limit = maxBackoff
			}
			backoff = min(2*backoff, limit)
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

// ConfirmReplicas reads the list of replicas to its end as of the time asOf or later. It
// returns an error if this instance can't reach the log. Callers share reads, which begin at
// least interval apart.
func (t *Topics) ConfirmReplicas(ctx context.Context, asOf time.Time, interval time.Duration) error {
	return t.confirming.Do(ctx, t.Now, asOf, interval, confirmTimeout, func(ctx context.Context, _ time.Time) error {
		return t.read(ctx, adapter.Replicas, t.Now(), 0)
	})
}

// readOnce reads a topic up to its end, if shouldRead says so, and reports whether it did.
func (t *Topics) readOnce(ctx context.Context, topic adapter.Topic) (read bool, err error) {
	sent := t.Now()
	read, wait := t.shouldRead(sent, topic)
	if !read {
		return false, nil
	}
	return true, t.read(ctx, topic, sent, wait)
}

// read reads a topic up to its end. The first read waits for records for up to wait.
func (t *Topics) read(ctx context.Context, topic adapter.Topic, sent time.Time, wait time.Duration) error {
	t.mu.Lock()
	loaded, next := t.views[topic].Loaded(), t.views[topic].Next()
	t.mu.Unlock()
	if !loaded {
		return t.load(ctx, topic, sent)
	}
	for pages := 1; ; pages++ {
		page, err := t.Log.Read(ctx, topic, next, wait)
		if errors.Is(err, adapter.ErrOffsetExpired) {
			_ = t.Logger.Log("msg", "The records to read have expired or are of another era.", "topic", topic, "era", page.Next.Era, "next-era", next.Era, "next", next.Offset)
			return t.load(ctx, topic, sent)
		}
		if err != nil {
			return err
		}
		// Records that follow may change what these say, so that only a view that has
		// reached the end is proven.
		proven := sent
		if !page.Complete() {
			proven = time.Time{}
		}
		t.applyChange(topic, proven, page.Next, func(view *topicview.View) []topicview.Record { return view.Apply(page.Records, page.Next) })
		advanced := next.Before(page.Next)
		if advanced {
			t.OnAdvance()
		}
		if page.Complete() {
			t.recordReadResult(topic, nil)
			return nil
		}
		if !advanced || pages >= maxPages {
			return fmt.Errorf("read up to offset %d of %d in %d pages: %w", page.Next.Offset, page.End.Offset, pages, errIncomplete)
		}
		sent, next = t.Now(), page.Next
	}
}

// ReachesLog reports whether this instance itself reaches the platform's log: its last
// read of the operators' records did not fail.
func (t *Topics) ReachesLog() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.operationsReadFailed
}

// recordReadResult records whether a read of a topic failed.
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

// load reads the complete view of a topic. It returns errOutdated if the view is newer.
func (t *Topics) load(ctx context.Context, topic adapter.Topic, sent time.Time) error {
	records, end, err := t.Log.Newest(ctx, topic)
	if err != nil {
		return err
	}
	if next := t.next(topic); end.Before(next) {
		return fmt.Errorf("listing up to offset %d of era %d, after %d of era %d: %w", end.Offset, end.Era, next.Offset, next.Era, errOutdated)
	}
	var history []topicview.Record
	complete := false
	if topic == adapter.Replicas && !t.loaded(topic) {
		history, complete = t.readHistory(ctx, topic, end)
	}
	t.applyChange(topic, sent, end, func(view *topicview.View) []topicview.Record { return view.Replace(records, end) })
	if complete {
		t.OnListLoaded(t.Now(), history, true)
	}
	t.recordReadResult(topic, nil)
	t.OnAdvance()
	return nil
}

// readHistory reads all records that a topic ever had, up to the position end. It returns
// false if the log no longer has them, or may have lost some by a restore.
func (t *Topics) readHistory(ctx context.Context, topic adapter.Topic, end topicview.Position) ([]topicview.Record, bool) {
	if end.Era > firstEra {
		return nil, false
	}
	var all []topicview.Record
	for next := (topicview.Position{Era: end.Era}); next.Before(end); {
		page, err := t.Log.Read(ctx, topic, next, 0)
		if err != nil || !next.Before(page.Next) {
			return nil, false
		}
		all, next = append(all, page.Records...), page.Next
	}
	return all, true
}

func (t *Topics) loaded(topic adapter.Topic) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.views[topic].Loaded()
}

// applyChange changes a view by calling change, after which it has all records up to the
// position end, and passes the records that changed to the callback of the topic. The topic
// had no others as of the time proven, which is zero if that is not known.
func (t *Topics) applyChange(topic adapter.Topic, proven time.Time, end topicview.Position, change func(*topicview.View) []topicview.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	now := t.Now()
	t.observeEra(now, end.Era, 0)
	view := &t.views[topic]
	before, loaded := view.Proof(), view.Loaded()
	changed := change(view)
	view.RecordProof(proven, end)
	if topic == adapter.Replicas && view.Loaded() && !loaded {
		t.OnListLoaded(now, nil, false)
	}
	if topic == adapter.Replicas && !proven.IsZero() {
		if t.replicasReadFailed && !before.IsZero() && proven.Sub(before) > minOutage {
			t.recoveredAt = now
		}
		t.replicasReadFailed = false
	}
	t.report(now, topic, changed)
}

// report passes the records that changed a view to the callback of its topic.
func (t *Topics) report(now time.Time, topic adapter.Topic, changed []topicview.Record) {
	if len(changed) == 0 {
		return
	}
	view := &t.views[topic]
	switch topic {
	case adapter.Operations:
		t.updateIntent(view)
	case adapter.Replicas:
		t.OnReplicas(now, changed, t.removeAt(now))
	case adapter.Instances:
		t.OnInstances(changed)
	}
}

// removeAt returns when a replica is removed whose entry has disappeared. Entries may
// expire during an outage and be written again soon after it, so that removals are
// delayed until rewriteTime after its end.
func (t *Topics) removeAt(now time.Time) time.Time {
	if t.recoveredAt.IsZero() || now.Sub(t.recoveredAt) >= rewriteTime {
		return now
	}
	return t.recoveredAt.Add(rewriteTime)
}

// updateIntent decodes the operators' records and puts the intent in force. A
// configuration older than the one in force is ignored, but not the rest of the intent.
func (t *Topics) updateIntent(view *topicview.View) {
	in, err := t.Decoder.Intent(view.Records())
	if err != nil {
		_ = t.Logger.Log("msg", "Decoding the operators' records failed; the previous intent stays in force.", "era", view.Next().Era, "next", view.Next().Offset, "err", err)
		return
	}
	if old := t.intent; old != nil && in.Table.Version < old.Table.Version {
		_ = t.Logger.Log("msg", "Ignored an older configuration.", "version", in.Table.Version, "in-force", old.Table.Version)
		in.Table = old.Table
	}
	t.logIgnored(in.Ignored, view.Next().Era)
	for service, order := range in.Rollouts {
		// Only held records state their era; the others are of the era of the view.
		if order.Position.Era == 0 {
			order.Position.Era = view.Next().Era
			in.Rollouts[service] = order
		}
	}
	if old := t.intent; old != nil {
		// Weight versions never go back, and an invalid record replaces one that was valid.
		for model, version := range old.Versions {
			in.Versions[model] = max(in.Versions[model], version)
		}
	}
	t.intent = &in
	_ = t.Logger.Log("msg", "An intent is in force.", "version", in.Table.Version, "era", view.Next().Era, "next", view.Next().Offset, "closed", len(in.ClosedDataCentres))
	t.OnIntent(&in)
}

// logIgnored logs the ignored records that it has not logged yet.
func (t *Topics) logIgnored(ignored []adapter.IgnoredRecord, era uint64) {
	logged := map[string]topicview.Position{}
	for _, i := range ignored {
		at := topicview.Position{Era: max(i.Record.Era, era), Offset: i.Record.Offset}
		if t.ignored[i.Record.Key] != at {
			_ = t.Logger.Log("msg", "Ignored a record of the operators.", "key", i.Record.Key, "era", at.Era, "offset", at.Offset, "err", i.Err)
		}
		logged[i.Record.Key] = at
	}
	t.ignored = logged
}

// RestoredSince reports whether the log has come back from a copy at a time or later, as far
// as known.
func (t *Topics) RestoredSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.restore.at.IsZero() && !t.restore.at.Before(at)
}

// ReplicasProof returns the latest time as of which the list of replicas is known to be
// complete, or the zero time if there is none.
func (t *Topics) ReplicasProof() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.views[adapter.Replicas].Proof()
}

// ReplicasRewritten returns the time by which replicas have written their entries again after the
// latest outage of the log, as far as known; the zero time if there was none.
func (t *Topics) ReplicasRewritten() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recoveredAt.IsZero() {
		return time.Time{}
	}
	return t.recoveredAt.Add(rewriteTime)
}

// ReplicasProofAge returns the age of the proof that the list of replicas is complete; ok is
// false if there is none.
func (t *Topics) ReplicasProofAge(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	proof := t.views[adapter.Replicas].Proof()
	return now.Sub(proof), !proof.IsZero()
}
