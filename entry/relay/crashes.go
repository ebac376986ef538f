package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/crashbreaker"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/replicas"
	"crocusfold.dev/shell/clock"
)

// EndsPrefix begins the keys of the records with ends in the topic of instances.
const EndsPrefix = "ends/"

// Times of writing the record with ends.
const (
	// keepAfter collects the ends of one moment in one write.
	keepAfter = 100 * time.Millisecond
	// keepEvery is the least pause between two writes, also after a failed one.
	keepEvery = time.Second
	// sweepEvery is the pause between two looks for what no longer counts.
	sweepEvery = 10 * time.Second
)

// Crashes finds requests that take down each replica that runs them, together
// with the other instances. What it knows of requests with more than one end is
// kept on the platform, so that it outlives all instances. The exported fields
// must be set before use. It is safe for concurrent use.
type Crashes struct {
	Logger  log.Logger
	Metrics *Metrics
	Now     func() time.Time
	// Nudge tells the other instances at once.
	Nudge func()
	// Put writes this instance's record, under its key.
	Put func(ctx context.Context, value []byte) error
	// Want has the records of earlier processes read.
	Want func()

	mu       sync.Mutex
	register crashbreaker.Breaker
	// loaded is true once the records of earlier processes were read.
	loaded bool
	// unkept is signalled when there is something to write.
	unkept chan struct{}
}

// NewCrashes returns a list that is empty. The seed should differ between
// instances.
func NewCrashes(seed uint64) *Crashes {
	return &Crashes{register: crashbreaker.Breaker{Seed: seed}, unkept: make(chan struct{}, 1)}
}

// Hear takes what another instance knows, and reports whether something was news.
func (cr *Crashes) Hear(now time.Time, told []message.FingerprintCrashes) bool {
	any := false
	for _, c := range told {
		rec := crashbreaker.Record{Fingerprint: c.Fingerprint}
		for _, e := range c.Crashes {
			rec.Crashes = append(rec.Crashes, crashbreaker.Crash{ReplicaDigest: e.ReplicaDigest, Seq: e.Seq, At: now.Add(-e.Age), Retracted: e.Retracted})
		}
		if c.ClearedAge >= 0 {
			rec.ClearedUntil = now.Add(-c.ClearedAge)
		}
		any = cr.hear(now, rec, "peer") || any
	}
	return any
}

func (cr *Crashes) hear(now time.Time, rec crashbreaker.Record, from string) bool {
	cr.mu.Lock()
	news := cr.register.Merge(now, rec)
	until, barred := cr.register.Blocked(now, rec.Fingerprint)
	cr.mu.Unlock()
	if !news {
		return false
	}
	cr.Metrics.ends.told.Inc(1)
	if barred {
		_ = cr.Logger.Log("msg", "A request that takes down replicas is barred.", "content", rec.Fingerprint, "told-by", from, "for", until.Sub(now).Round(time.Second))
	}
	return true
}

// Tell returns what changed since a moment, for other instances.
func (cr *Crashes) Tell(now, since time.Time) []message.FingerprintCrashes {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	var out []message.FingerprintCrashes
	for _, rec := range cr.register.ChangedSince(now, since) {
		c := message.FingerprintCrashes{Fingerprint: rec.Fingerprint, ClearedAge: -1}
		for _, e := range rec.Crashes {
			c.Crashes = append(c.Crashes, message.Crash{ReplicaDigest: e.ReplicaDigest, Seq: e.Seq, Age: now.Sub(e.At), Retracted: e.Retracted})
		}
		if !rec.ClearedUntil.IsZero() {
			c.ClearedAge = now.Sub(rec.ClearedUntil)
		}
		out = append(out, c)
	}
	return out
}

// ReplicaEnded takes the end of a replica that the list of replicas shows.
func (cr *Crashes) ReplicaEnded(now time.Time, r pool.Replica) {
	cr.mu.Lock()
	runs := cr.register.RecordReplicaCrash(now, r.ID, r.Incarnation)
	cr.mu.Unlock()
	for _, run := range runs {
		cr.noticed(now, run, "")
	}
}

// ended notes that a run ended with its replica.
func (cr *Crashes) ended(now time.Time, run crashbreaker.Run, id string) {
	cr.mu.Lock()
	cr.register.RecordCrash(now, run)
	cr.mu.Unlock()
	cr.noticed(now, run, id)
}

// noticed logs an end and passes on what concerns more than one.
func (cr *Crashes) noticed(now time.Time, run crashbreaker.Run, id string) {
	cr.mu.Lock()
	ends := cr.register.CrashCount(run.Fingerprint)
	until, barred := cr.register.Blocked(now, run.Fingerprint)
	cr.mu.Unlock()
	cr.Metrics.ends.seen.Inc(1)
	_ = cr.Logger.Log("id", id, "msg", "Counted an end of a replica against a request.", "replica", run.Replica,
		"incarnation", run.Incarnation, "content", run.Fingerprint, "ends", ends, "silent", id == "")
	if barred {
		_ = cr.Logger.Log("msg", "A request that takes down replicas is barred.", "content", run.Fingerprint, "told-by", "", "for", until.Sub(now).Round(time.Second))
	}
	if ends > 1 {
		cr.keep()
		cr.Nudge()
	}
}

func (cr *Crashes) unanswered(now time.Time, run crashbreaker.Run) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.register.RecordPending(now, run)
}

func (cr *Crashes) succeeded(now time.Time, c quarantine.Fingerprint, began time.Time) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.register.RecordSuccess(now, c, began)
}

// lives takes an answer of a replica on a connection that was first used at opened.
func (cr *Crashes) lives(now time.Time, replica string, incarnation int64, opened time.Time) {
	cr.mu.Lock()
	void := cr.register.RetractCrashes(now, replica, incarnation, opened)
	cr.mu.Unlock()
	if void {
		_ = cr.Logger.Log("msg", "A replica lives whose end was counted.", "replica", replica, "incarnation", incarnation)
		cr.keep()
	}
}

func (cr *Crashes) empty() bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.register.Empty()
}

// barred returns for how long a content may not run.
func (cr *Crashes) barred(now time.Time, c quarantine.Fingerprint) (time.Duration, bool) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	until, barred := cr.register.Blocked(now, c)
	return until.Sub(now), barred
}

// admit decides whether a request may be sent to a replica; if not, it returns
// when to come back.
func (cr *Crashes) admit(now time.Time, c quarantine.Fingerprint, request string) (time.Duration, bool) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.register.Admit(now, c, request)
}

// keptRecord is the record on the platform. Its times are of the wall clock,
// which may be off by seconds; what is counted there lasts for minutes.
type keptRecord struct {
	Contents []keptContent `json:"contents"`
}

type keptContent struct {
	Content quarantine.Fingerprint `json:"content"`
	Ends    []keptEnd              `json:"ends"`
}

type keptEnd struct {
	Replica uint64    `json:"replica"`
	Round   int       `json:"round"`
	At      time.Time `json:"at"`
}

// TakeRecords takes what instances, also earlier ones, kept on the platform.
func (cr *Crashes) TakeRecords(now, wall time.Time, records []topicview.Record) {
	for _, kept := range records {
		if len(kept.Value) == 0 {
			continue
		}
		var k keptRecord
		if err := json.Unmarshal(kept.Value, &k); err != nil {
			_ = cr.Logger.Log("msg", "Ignored a record with ends.", "key", kept.Key, "err", err)
			continue
		}
		for _, c := range k.Contents {
			rec := crashbreaker.Record{Fingerprint: c.Content}
			for _, e := range c.Ends {
				rec.Crashes = append(rec.Crashes, crashbreaker.Crash{ReplicaDigest: e.Replica, Seq: e.Round, At: now.Add(-max(0, wall.Sub(e.At)))})
			}
			cr.hear(now, rec, "platform")
		}
	}
	cr.mu.Lock()
	cr.loaded = true
	cr.mu.Unlock()
}

// keep asks for a write of the record.
func (cr *Crashes) keep() {
	select {
	case cr.unkept <- struct{}{}:
	default:
	}
}

// Run writes the record when there is news, and forgets what no longer counts,
// until ctx ends.
func (cr *Crashes) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			cr.sweep(cr.Now())
			continue
		case <-cr.unkept:
		}
		clock.Pause(ctx, keepAfter)
		if err := cr.write(ctx); err != nil && ctx.Err() == nil {
			_ = cr.Logger.Log("msg", "The record with ends is not written yet.", "err", err)
			cr.keep()
		}
		clock.Pause(ctx, keepEvery)
	}
}

func (cr *Crashes) sweep(now time.Time) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.register.Sweep(now)
}

// write puts all that must outlive the instances into this instance's record.
func (cr *Crashes) write(ctx context.Context) error {
	now, wall := cr.Now(), time.Now()
	cr.mu.Lock()
	loaded, records := cr.loaded, cr.register.ToPersist(now)
	cr.mu.Unlock()
	if !loaded {
		cr.Want()
		return fmt.Errorf("writing the record with ends: what earlier processes kept is not read yet")
	}
	var k keptRecord
	for _, rec := range records {
		c := keptContent{Content: rec.Fingerprint}
		for _, e := range rec.Crashes {
			if !e.Retracted {
				c.Ends = append(c.Ends, keptEnd{e.ReplicaDigest, e.Seq, wall.Add(-now.Sub(e.At))})
			}
		}
		k.Contents = append(k.Contents, c)
	}
	raw, err := json.Marshal(k)
	if err != nil {
		return fmt.Errorf("encoding the record with ends: %w", err)
	}
	if err := cr.Put(ctx, raw); err != nil {
		return fmt.Errorf("writing the record with ends: %w", err)
	}
	return nil
}

// content identifies what the request asks for, whoever sends it under whatever
// id.
func (c *call) content() quarantine.Fingerprint {
	if c.contentID == (quarantine.Fingerprint{}) {
		text := append([]byte(c.account.Name+"\x00"+c.r.Method+"\x00"+c.r.RequestURI+"\x00"), c.body...)
		c.contentID = quarantine.NewFingerprint(text)
	}
	return c.contentID
}

// run describes the run of the request at a replica.
func (c *call) run(t *replicas.Placement, began time.Time) crashbreaker.Run {
	return crashbreaker.Run{Fingerprint: c.content(), Replica: t.ID, Incarnation: t.Incarnation, SentAt: began}
}
