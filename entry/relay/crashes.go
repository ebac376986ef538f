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

// CrashKeyPrefix begins the keys of the records with ends in the topic of instances.
const CrashKeyPrefix = "ends/"

// Times of writing the record with ends.
const (
	// writeDelay collects the ends of one moment in one write.
	writeDelay = 100 * time.Millisecond
	// writeInterval is the least pause between two writes, also after a failed one.
	writeInterval = time.Second
	// sweepInterval is the pause between two looks for what no longer counts.
	sweepInterval = 10 * time.Second
)

// Crashes finds requests that take down each replica that runs them, together
// with the other instances. What it knows of requests with more than one end is
// kept on the platform, so that it outlives all instances. The exported fields
// must be set before use. It is safe for concurrent use.
type Crashes struct {
	Logger  log.Logger
	Metrics *Metrics
	Now     func() time.Time
	// NotifyPeers tells the other instances at once.
	NotifyPeers func()
	// Put writes this instance's record, under its key.
	Put func(ctx context.Context, value []byte) error
	// RequestRecords has the records of earlier processes read.
	RequestRecords func()

	mu      sync.Mutex
	breaker crashbreaker.Breaker
	// loaded is true once the records of earlier processes were read.
	loaded bool
	// unsaved is signalled when there is something to write.
	unsaved chan struct{}
}

// NewCrashes returns a list that is empty. The seed should differ between
// instances.
func NewCrashes(seed uint64) *Crashes {
	return &Crashes{breaker: crashbreaker.Breaker{Seed: seed}, unsaved: make(chan struct{}, 1)}
}

// Merge takes what another instance knows, and reports whether something was news.
func (cr *Crashes) Merge(now time.Time, told []message.FingerprintCrashes) bool {
	any := false
	for _, c := range told {
		rec := crashbreaker.Record{Fingerprint: c.Fingerprint}
		for _, e := range c.Crashes {
			rec.Crashes = append(rec.Crashes, crashbreaker.Crash{ReplicaDigest: e.ReplicaDigest, Seq: e.Seq, At: now.Add(-e.Age), Retracted: e.Retracted})
		}
		if c.ClearedAge >= 0 {
			rec.ClearedUntil = now.Add(-c.ClearedAge)
		}
		any = cr.merge(now, rec, "peer") || any
	}
	return any
}

func (cr *Crashes) merge(now time.Time, rec crashbreaker.Record, from string) bool {
	cr.mu.Lock()
	news := cr.breaker.Merge(now, rec)
	until, barred := cr.breaker.Blocked(now, rec.Fingerprint)
	cr.mu.Unlock()
	if !news {
		return false
	}
	cr.Metrics.crashes.told.Inc(1)
	if barred {
		_ = cr.Logger.Log("msg", "A request that takes down replicas is barred.", "content", rec.Fingerprint, "told-by", from, "for", until.Sub(now).Round(time.Second))
	}
	return true
}

// ChangedSince returns what changed since a moment, for other instances.
func (cr *Crashes) ChangedSince(now, since time.Time) []message.FingerprintCrashes {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	var out []message.FingerprintCrashes
	for _, rec := range cr.breaker.ChangedSince(now, since) {
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

// RecordReplicaCrash takes the end of a replica that the list of replicas shows.
func (cr *Crashes) RecordReplicaCrash(now time.Time, r pool.Replica) {
	cr.mu.Lock()
	runs := cr.breaker.RecordReplicaCrash(now, r.ID, r.Incarnation)
	cr.mu.Unlock()
	for _, run := range runs {
		cr.publish(now, run, "")
	}
}

// recordCrash notes that a run ended with its replica.
func (cr *Crashes) recordCrash(now time.Time, run crashbreaker.Run, id string) {
	cr.mu.Lock()
	cr.breaker.RecordCrash(now, run)
	cr.mu.Unlock()
	cr.publish(now, run, id)
}

// publish logs an end and passes on what concerns more than one.
func (cr *Crashes) publish(now time.Time, run crashbreaker.Run, id string) {
	cr.mu.Lock()
	ends := cr.breaker.CrashCount(run.Fingerprint)
	until, barred := cr.breaker.Blocked(now, run.Fingerprint)
	cr.mu.Unlock()
	cr.Metrics.crashes.seen.Inc(1)
	_ = cr.Logger.Log("id", id, "msg", "Counted an end of a replica against a request.", "replica", run.Replica,
		"incarnation", run.Incarnation, "content", run.Fingerprint, "ends", ends, "silent", id == "")
	if barred {
		_ = cr.Logger.Log("msg", "A request that takes down replicas is barred.", "content", run.Fingerprint, "told-by", "", "for", until.Sub(now).Round(time.Second))
	}
	if ends > 1 {
		cr.requestWrite()
		cr.NotifyPeers()
	}
}

func (cr *Crashes) recordPending(now time.Time, run crashbreaker.Run) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.breaker.RecordPending(now, run)
}

func (cr *Crashes) recordSuccess(now time.Time, c quarantine.Fingerprint, began time.Time) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.breaker.RecordSuccess(now, c, began)
}

// retractCrashes takes an answer of a replica on a connection that was first used at opened.
func (cr *Crashes) retractCrashes(now time.Time, replica string, incarnation int64, opened time.Time) {
	cr.mu.Lock()
	void := cr.breaker.RetractCrashes(now, replica, incarnation, opened)
	cr.mu.Unlock()
	if void {
		_ = cr.Logger.Log("msg", "A replica lives whose end was counted.", "replica", replica, "incarnation", incarnation)
		cr.requestWrite()
	}
}

func (cr *Crashes) empty() bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.breaker.Empty()
}

// blocked returns for how long a content may not run.
func (cr *Crashes) blocked(now time.Time, c quarantine.Fingerprint) (time.Duration, bool) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	until, barred := cr.breaker.Blocked(now, c)
	return until.Sub(now), barred
}

// admit decides whether a request may be sent to a replica; if not, it returns
// when to come back.
func (cr *Crashes) admit(now time.Time, c quarantine.Fingerprint, request string) (time.Duration, bool) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.breaker.Admit(now, c, request)
}

// persistedRecord is the record on the platform. Its times are of the wall clock,
// which may be off by seconds; what is counted there lasts for minutes.
type persistedRecord struct {
	Fingerprints []persistedFingerprint `json:"contents"`
}

type persistedFingerprint struct {
	Fingerprint quarantine.Fingerprint `json:"content"`
	Crashes     []persistedCrash       `json:"ends"`
}

type persistedCrash struct {
	ReplicaDigest uint64    `json:"replica"`
	Seq           int       `json:"round"`
	At            time.Time `json:"at"`
}

// MergeRecords takes what instances, also earlier ones, kept on the platform.
func (cr *Crashes) MergeRecords(now, wall time.Time, records []topicview.Record) {
	for _, kept := range records {
		if len(kept.Value) == 0 {
			continue
		}
		var k persistedRecord
		if err := json.Unmarshal(kept.Value, &k); err != nil {
			_ = cr.Logger.Log("msg", "Ignored a record with ends.", "key", kept.Key, "err", err)
			continue
		}
		for _, c := range k.Fingerprints {
			rec := crashbreaker.Record{Fingerprint: c.Fingerprint}
			for _, e := range c.Crashes {
				rec.Crashes = append(rec.Crashes, crashbreaker.Crash{ReplicaDigest: e.ReplicaDigest, Seq: e.Seq, At: now.Add(-max(0, wall.Sub(e.At)))})
			}
			cr.merge(now, rec, "platform")
		}
	}
	cr.mu.Lock()
	cr.loaded = true
	cr.mu.Unlock()
}

// requestWrite asks for a write of the record.
func (cr *Crashes) requestWrite() {
	select {
	case cr.unsaved <- struct{}{}:
	default:
	}
}

// Run writes the record when there is news, and forgets what no longer counts,
// until ctx ends.
func (cr *Crashes) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			cr.sweep(cr.Now())
			continue
		case <-cr.unsaved:
		}
		clock.Pause(ctx, writeDelay)
		if err := cr.write(ctx); err != nil && ctx.Err() == nil {
			_ = cr.Logger.Log("msg", "The record with ends is not written yet.", "err", err)
			cr.requestWrite()
		}
		clock.Pause(ctx, writeInterval)
	}
}

func (cr *Crashes) sweep(now time.Time) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.breaker.Sweep(now)
}

// write puts all that must outlive the instances into this instance's record.
func (cr *Crashes) write(ctx context.Context) error {
	now, wall := cr.Now(), time.Now()
	cr.mu.Lock()
	loaded, records := cr.loaded, cr.breaker.ToPersist(now)
	cr.mu.Unlock()
	if !loaded {
		cr.RequestRecords()
		return fmt.Errorf("writing the record with ends: what earlier processes kept is not read yet")
	}
	var k persistedRecord
	for _, rec := range records {
		c := persistedFingerprint{Fingerprint: rec.Fingerprint}
		for _, e := range rec.Crashes {
			if !e.Retracted {
				c.Crashes = append(c.Crashes, persistedCrash{e.ReplicaDigest, e.Seq, wall.Add(-now.Sub(e.At))})
			}
		}
		k.Fingerprints = append(k.Fingerprints, c)
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

// fingerprint identifies what the request asks for, whoever sends it under whatever
// id.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.fp == (quarantine.Fingerprint{}) {
		text := append([]byte(c.account.Name+"\x00"+c.r.Method+"\x00"+c.r.RequestURI+"\x00"), c.body...)
		c.fp = quarantine.NewFingerprint(text)
	}
	return c.fp
}

// run describes the run of the request at a replica.
func (c *call) run(pl *replicas.Placement, began time.Time) crashbreaker.Run {
	return crashbreaker.Run{Fingerprint: c.fingerprint(), Replica: pl.ID, Incarnation: pl.Incarnation, SentAt: began}
}
