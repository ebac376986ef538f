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

	"crocusfold.dev/core/feed"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/outside"
	"crocusfold.dev/shell/clock"
)

// Times of following a topic.
const (
	// operationsWait is how long a read of the operators' records waits. Each
	// answer proves that the view was complete when the read was sent, so the
	// newest proof is up to twice as old.
	operationsWait = 1200 * time.Millisecond
	// staleAfter is the age of a proof from which a peer's view is asked for.
	staleAfter = time.Second
	// upstreamsWait is how long a read of the list of replicas waits, and
	// upstreamsEvery the least pause between two reads.
	upstreamsWait  = 600 * time.Millisecond
	upstreamsEvery = 120 * time.Millisecond
	// upstreamsCheck is the pause between two looks whether to read it.
	upstreamsCheck = 100 * time.Millisecond
	// followedLimit is the age of the list from which an instance reads it itself
	// in place of the reader of its data centre. It is more than twice
	// upstreamsWait; a leaving replica must be known everywhere within 2 s.
	followedLimit = 1500 * time.Millisecond
	// instancesWait is how long a read of the list of instances waits.
	instancesWait = 20 * time.Second
	// firstBackoff and longestBackoff bound the pause after a failed read.
	firstBackoff   = 60 * time.Millisecond
	longestBackoff = 600 * time.Millisecond
	// outageAfter is the time without an answer from which entries may have
	// lapsed although their replicas live.
	outageAfter = 1500 * time.Millisecond
	// returnTime is how long replicas have to write their entries again.
	returnTime = 2200 * time.Millisecond
)

const topicCount = 3

// waits has how long a read of each topic waits.
var waits = map[outside.Topic]time.Duration{
	outside.Operations: operationsWait, outside.Upstreams: upstreamsWait, outside.Instances: instancesWait,
}

// Topics is the view of all topics. The exported fields must be set before Run.
type Topics struct {
	Log     outside.Log
	Decoder outside.Decoder
	Now     func() time.Time
	Logger  log.Logger
	// OnUpstreams takes changes of the list of replicas. Removals take effect
	// at removeAt.
	OnUpstreams func(now time.Time, changed []feed.Record, removeAt time.Time)
	// OnInstances takes changes of the list of instances.
	OnInstances func(changed []feed.Record)
	// Reads reports whether this instance reads the list of replicas for its data
	// centre; the others take it from that one while it is fresh.
	Reads func(now time.Time) bool
	// OnIntent takes a new intent.
	OnIntent func(in *outside.Intent)

	mu     sync.Mutex
	feeds  [topicCount]feed.Feed
	intent atomic.Pointer[outside.Intent]
	// returned is when the list of replicas was first read after an outage.
	returned time.Time
	// reached is when the operators' records were last read.
	reached time.Time
}

// Intent returns the intent in force, or nil if none is known yet.
func (t *Topics) Intent() *outside.Intent { return t.intent.Load() }

// Run follows all topics until ctx ends.
func (t *Topics) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, topic := range []outside.Topic{outside.Operations, outside.Upstreams, outside.Instances} {
		wg.Go(func() { t.follow(ctx, topic) })
	}
	wg.Wait()
}

func (t *Topics) follow(ctx context.Context, topic outside.Topic) {
	backoff := firstBackoff
	healthy := true
	for ctx.Err() == nil {
		err := t.step(ctx, topic)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != healthy {
			healthy = err == nil
			t.logDependency(topic, err)
		}
		if err != nil {
			clock.Pause(ctx, backoff)
			backoff = min(2*backoff, longestBackoff)
			continue
		}
		backoff = firstBackoff
		if topic == outside.Upstreams {
			clock.Pause(ctx, t.upstreamsPause())
		}
	}
}

func (t *Topics) logDependency(topic outside.Topic, err error) {
	if err != nil {
		_ = t.Logger.Log("msg", "Lost the platform's log.", "topic", topic, "err", err)
		return
	}
	_ = t.Logger.Log("msg", "The platform's log answers again.", "topic", topic)
}

// step reads a topic once.
func (t *Topics) step(ctx context.Context, topic outside.Topic) error {
	t.mu.Lock()
	loaded, next := t.feeds[topic].Loaded(), t.feeds[topic].Next()
	t.mu.Unlock()
	sent := t.Now()
	if topic == outside.Upstreams && loaded && !t.Reads(sent) && t.fresh(sent) {
		return nil
	}
	if !loaded {
		return t.load(ctx, topic, sent)
	}
	wait := waits[topic]
	records, end, err := t.Log.Read(ctx, topic, next, wait)
	if errors.Is(err, outside.ErrForgotten) {
		return t.load(ctx, topic, sent)
	}
	if err != nil {
		return err
	}
	t.take(topic, sent, end, func(f *feed.Feed) []feed.Record { return f.Append(records, end) })
	t.noteReach(topic)
	return nil
}

// upstreamsPause returns the time until the list of replicas is looked at again.
func (t *Topics) upstreamsPause() time.Duration {
	if t.Reads(t.Now()) {
		return upstreamsEvery
	}
	return upstreamsCheck
}

// Reaches reports whether this instance itself read the platform's log lately.
func (t *Topics) Reaches(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.reached.IsZero() && now.Sub(t.reached) < operationsWait+outageAfter
}

// fresh reports whether the list of replicas came from a peer lately.
func (t *Topics) fresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.feeds[outside.Upstreams].Current(now, followedLimit)
}

func (t *Topics) noteReach(topic outside.Topic) {
	if topic != outside.Operations {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reached = t.Now()
}

func (t *Topics) load(ctx context.Context, topic outside.Topic, sent time.Time) error {
	records, end, err := t.Log.Newest(ctx, topic)
	if err != nil {
		return err
	}
	t.take(topic, sent, end, func(f *feed.Feed) []feed.Record { return f.Replace(records, end) })
	t.noteReach(topic)
	return nil
}

// take applies a change to a view that was complete at proven.
func (t *Topics) take(topic outside.Topic, proven time.Time, end uint64, change func(*feed.Feed) []feed.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.feeds[topic]
	before := f.Proof()
	changed := change(f)
	f.Prove(proven, end)
	now := t.Now()
	if topic == outside.Upstreams && !before.IsZero() && proven.Sub(before) > outageAfter {
		t.returned = now
	}
	if len(changed) == 0 {
		return
	}
	switch topic {
	case outside.Operations:
		t.decide(f)
	case outside.Upstreams:
		t.OnUpstreams(now, changed, t.removeAt(now))
	case outside.Instances:
		t.OnInstances(changed)
	}
}

// removeAt returns when a replica whose entry is missing is taken as gone.
// Entries may lapse in an outage, and are written again soon after it.
func (t *Topics) removeAt(now time.Time) time.Time {
	if t.returned.IsZero() || now.Sub(t.returned) >= returnTime {
		return now
	}
	return t.returned.Add(returnTime)
}

func (t *Topics) decide(f *feed.Feed) {
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
	_ = t.Logger.Log("msg", "An intent is in force.", "version", in.Table.Version, "next", f.Next(), "closed", len(in.Closed))
	t.OnIntent(&in)
}

// ProofAge returns how old the proof is that the operators' records are
// complete here; ok is false if there is none.
func (t *Topics) ProofAge(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	proof := t.feeds[outside.Operations].Proof()
	return now.Sub(proof), !proof.IsZero()
}

// Views returns the state of the operators' records and the list of replicas.
func (t *Topics) Views(now time.Time) []message.ViewState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []message.ViewState
	for _, topic := range []outside.Topic{outside.Operations, outside.Upstreams} {
		out = append(out, viewState(now, &t.feeds[topic]))
	}
	return out
}

func viewState(now time.Time, f *feed.Feed) message.ViewState {
	v := message.ViewState{Next: f.Next(), ProofAge: -1}
	if f.Loaded() && !f.Proof().IsZero() {
		v.ProofAge = max(0, now.Sub(f.Proof()))
	}
	return v
}

// Copy returns the records of a topic for a peer.
func (t *Topics) Copy(now time.Time, topic outside.Topic) (message.ViewCopy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if topic < 0 || int(topic) >= topicCount {
		return message.ViewCopy{}, false
	}
	f := &t.feeds[topic]
	v := viewState(now, f)
	return message.ViewCopy{Records: f.Records(), Next: v.Next, ProofAge: v.ProofAge}, f.Loaded()
}

// Hear takes a peer's views, asked for at sent. It returns the topics whose
// records should be asked for: those that this instance can't read itself, and
// the list of replicas if the peer reads it for the data centre.
func (t *Topics) Hear(now, sent time.Time, views []message.ViewState, fromReader bool) []outside.Topic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var behind []outside.Topic
	for i, topic := range []outside.Topic{outside.Operations, outside.Upstreams} {
		if i >= len(views) || views[i].ProofAge < 0 {
			continue
		}
		f := &t.feeds[topic]
		if f.Loaded() && f.Next() >= views[i].Next {
			f.Prove(sent.Add(-views[i].ProofAge), views[i].Next)
			continue
		}
		stale := now.Sub(f.Proof()) > staleAfter || topic == outside.Upstreams && fromReader
		if !f.Loaded() || stale {
			behind = append(behind, topic)
		}
	}
	return behind
}

// Merge takes a peer's copy of a topic, asked for at sent.
func (t *Topics) Merge(sent time.Time, topic outside.Topic, c message.ViewCopy) {
	if c.ProofAge < 0 {
		return
	}
	t.take(topic, sent.Add(-c.ProofAge), c.Next, func(f *feed.Feed) []feed.Record { return f.Replace(c.Records, c.Next) })
}
