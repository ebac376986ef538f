package relay

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/crashbreaker"
	"crocusfold.dev/core/peering"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/quarantine"
	"crocusfold.dev/core/topicview"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/clock"
)

// CrashKeyPrefix is the prefix of the keys of crash records in the topic of instances.
const CrashKeyPrefix = "ends/"

// CrashKey returns the key of a chunk of the crash record of an instance.
func CrashKey(instance string, chunk int) string {
	if chunk == 0 {
		return CrashKeyPrefix + instance
	}
	return CrashKeyPrefix + instance + "/" + strconv.Itoa(chunk)
}

// Times of maintaining the crash record.
const (
	// writeDelay is the time before a write, so that crashes at the same moment are
	// written together.
	writeDelay = 100 * time.Millisecond
	// writeInterval is the minimum pause between two writes, also after a failed one.
	writeInterval = time.Second
	// sweepInterval is the time between two deletions of expired crashes.
	sweepInterval = 10 * time.Second
)

// Crashes finds requests that crash each replica that runs them, and blocks them. It
// exchanges the crashes with the other instances. Those of requests with more than one
// crash are also written to the platform, so that they outlive all instances. The
// exported fields must be set before use. It is safe for concurrent use.
type Crashes struct {
	Logger  log.Logger
	Metrics *Metrics
	Now     func() time.Time
	// NotifyPeers starts the exchange with the other instances without delay.
	NotifyPeers func()
	// Put writes a chunk of this instance's crash record under its key. A chunk without a value
	// is deleted.
	Put func(ctx context.Context, chunk int, value []byte) error
	// RequestRecords requests a read of the crash records on the platform. They are
	// then passed to MergeRecords.
	RequestRecords func()

	mu      sync.Mutex
	breaker crashbreaker.Breaker
	// loaded is true once the crash records on the platform were merged. Before that,
	// a write could drop crashes that an earlier process of this instance wrote.
	loaded bool
	// unsaved is signalled when the crash record has to be written.
	unsaved chan struct{}
	// chunks is the number of chunks that were written. Only Run uses it.
	chunks int
	// written has what the crash record on the platform counts; nil if that is not known.
	written *string
}

// NewCrashes returns Crashes with no recorded crashes. The seed should differ between instances,
// so that they don't allow trials at the same time.
func NewCrashes(seed uint64) *Crashes {
	return &Crashes{breaker: crashbreaker.Breaker{Seed: seed}, unsaved: make(chan struct{}, 1)}
}

// MergeGossip merges the crashes in a message of another instance, and reports whether
// that changed anything.
func (cr *Crashes) MergeGossip(now time.Time, m message.Gossip) bool {
	changed := false
	logged := 0
	for _, c := range m.Crashes {
		rec := crashbreaker.Record{Fingerprint: c.Fingerprint, ClearedUntil: clearedUntil(now, c.ClearedAge)}
		for _, crash := range c.Crashes {
			rec.Crashes = append(rec.Crashes, crashFrom(now, crash))
		}
		changed = cr.merge(now, rec, m.Relation, "peer", &logged) || changed
	}
	for _, c := range m.PartCrashes {
		rec := crashbreaker.Record{Fingerprint: c.Fingerprint, Part: true, ClearedUntil: clearedUntil(now, c.ClearedAge)}
		for _, crash := range c.Crashes {
			received := crashFrom(now, crash.Crash)
			received.SentAt, received.Request = now.Add(-crash.SentAge), crash.Request
			rec.Crashes = append(rec.Crashes, received)
		}
		changed = cr.merge(now, rec, m.Relation, "peer", &logged) || changed
	}
	return changed
}

// clearedUntil returns the time of a success by its age, which is negative if there was
// none.
func clearedUntil(now time.Time, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

func crashFrom(now time.Time, c message.Crash) crashbreaker.Crash {
	return crashbreaker.Crash{ReplicaDigest: c.ReplicaDigest, Seq: c.Seq, At: now.Add(-c.Age), Retracted: c.Retracted}
}

// merge merges one record, and reports whether that changed something that other
// instances need at once. The argument relation is the position of the sender in the overlay,
// and from says in the log where the record came from. logged is the number of lines on parts
// that its message had so far.
func (cr *Crashes) merge(now time.Time, rec crashbreaker.Record, relation peering.Relation, from string, logged *int) bool {
	cr.mu.Lock()
	_, before := cr.breaker.Blocked(now, rec.Fingerprint)
	changed := cr.breaker.Merge(now, rec, relation)
	until, blocked := cr.breaker.Blocked(now, rec.Fingerprint)
	cr.mu.Unlock()
	if !changed {
		return false
	}
	cr.Metrics.crashes.received.Inc(1)
	if blocked && !(rec.Part && (before || *logged >= maxLoggedParts)) {
		cr.logBlocked(now, rec.Fingerprint, rec.Part, from, until)
		if rec.Part {
			*logged++
		}
	}
	// A crash hits many parts, most of which are harmless. Their records spread with the
	// regular exchanges, unless a block begins or ends.
	return !rec.Part || blocked != before
}

// logBlocked logs that requests with a fingerprint are blocked from now on.
func (cr *Crashes) logBlocked(now time.Time, fp quarantine.Fingerprint, part bool, from string, until time.Time) {
	msg := "A request that takes down replicas is barred."
	if part {
		msg = "A part of prompts that crashes replicas is blocked."
	}
	_ = cr.Logger.Log("msg", msg, "content", fp, "told-by", from, "for", until.Sub(now).Round(time.Second))
}

// FillGossip adds the crashes to send to an instance that has all changes before the
// time since.
func (cr *Crashes) FillGossip(now time.Time, m *message.Gossip, since time.Time) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, rec := range cr.breaker.ChangedSince(now, since, m.Relation) {
		clearedAge := time.Duration(-1)
		if !rec.ClearedUntil.IsZero() {
			clearedAge = now.Sub(rec.ClearedUntil)
		}
		request := message.FingerprintCrashes{Fingerprint: rec.Fingerprint, ClearedAge: clearedAge}
		part := message.PartCrashes{Fingerprint: rec.Fingerprint, ClearedAge: clearedAge}
		for _, crash := range rec.Crashes {
			c := message.Crash{ReplicaDigest: crash.ReplicaDigest, Seq: crash.Seq, Age: now.Sub(crash.At), Retracted: crash.Retracted}
			request.Crashes = append(request.Crashes, c)
			part.Crashes = append(part.Crashes, message.PartCrash{Crash: c, SentAge: now.Sub(crash.SentAt), Request: crash.Request})
		}
		if rec.Part {
			m.PartCrashes = append(m.PartCrashes, part)
		} else {
			m.Crashes = append(m.Crashes, request)
		}
	}
}

// RecordReplicaCrash records the crash of a replica that the list of replicas shows,
// against the replica's pending runs.
func (cr *Crashes) RecordReplicaCrash(now time.Time, r pool.Replica) {
	cr.mu.Lock()
	runs := cr.breaker.RecordReplicaCrash(now, r.ID, r.Incarnation)
	cr.mu.Unlock()
	for _, run := range runs {
		cr.publish(now, run, runInfo{})
	}
}

// runInfo has what the log says of a run that ended in a crash.
type runInfo struct {
	// id is the request's, empty if the list of replicas showed the crash.
	id string
	// parts has the ids of the shared parts of the prompt, events the number of events
	// that were passed on.
	parts  string
	events int
}

// recordCrash records that the replica crashed during a run.
func (cr *Crashes) recordCrash(now time.Time, run crashbreaker.Run, info runInfo) {
	cr.mu.Lock()
	cr.breaker.RecordCrash(now, run)
	cr.mu.Unlock()
	cr.publish(now, run, info)
}

// publish counts and logs a crash. If it is not the first one of its fingerprint, it
// also has the crash record written and the other instances notified.
func (cr *Crashes) publish(now time.Time, run crashbreaker.Run, info runInfo) {
	cr.mu.Lock()
	crashes := cr.breaker.CrashCount(run.Fingerprint)
	until, blocked := cr.breaker.Blocked(now, run.Fingerprint)
	cr.mu.Unlock()
	cr.Metrics.crashes.observed.Inc(1)
	_ = cr.Logger.Log("id", info.id, "msg", "Counted an end of a replica against a request.", "replica", run.Replica,
		"incarnation", run.Incarnation, "content", run.Fingerprint, "ends", crashes, "silent", info.id == "", "parts", info.parts, "events", info.events)
	if blocked {
		cr.logBlocked(now, run.Fingerprint, false, "", until)
	}
	partBlocked := cr.publishParts(now, run)
	if crashes > 1 || partBlocked {
		cr.requestWrite()
		cr.NotifyPeers()
	}
}

// publishParts logs which parts of a run's prompt are blocked, at most maxLoggedParts of them,
// and reports whether any is.
// It has the crash record written if one of them has more than one crash.
func (cr *Crashes) publishParts(now time.Time, run crashbreaker.Run) bool {
	logged := 0
	for _, fp := range run.Parts {
		cr.mu.Lock()
		crashes := cr.breaker.CrashCount(fp)
		until, blocked := cr.breaker.Blocked(now, fp)
		cr.mu.Unlock()
		if crashes > 1 {
			cr.requestWrite()
		}
		if blocked {
			if logged < maxLoggedParts {
				cr.logBlocked(now, fp, true, "", until)
			}
			logged++
		}
	}
	return logged > 0
}

// recordAnswered records that a run with these parts of a prompt does not crash its
// replica, which clears the parts.
func (cr *Crashes) recordAnswered(now time.Time, parts []quarantine.Fingerprint) {
	cr.mu.Lock()
	unblocked := cr.breaker.RecordAnswered(now, parts)
	cr.mu.Unlock()
	if unblocked {
		cr.requestWrite()
		cr.NotifyPeers()
	}
}

// BlockedParts returns the number of parts of prompts that are blocked.
func (cr *Crashes) BlockedParts(now time.Time) int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.breaker.BlockedParts(now)
}

// recordPending records a run without a complete response, in case the replica turns
// out to have crashed.
func (cr *Crashes) recordPending(now time.Time, run crashbreaker.Run) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.breaker.RecordPending(now, run)
}

// recordSuccess records that the run sent at sentAt succeeded, which clears the
// fingerprint's crashes up to then.
func (cr *Crashes) recordSuccess(now time.Time, fp quarantine.Fingerprint, sentAt time.Time) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.breaker.RecordSuccess(now, fp, sentAt)
}

// retractCrashes retracts the crashes that a response of their replica disproves. The
// response arrived on a connection that was first used at firstUse.
func (cr *Crashes) retractCrashes(now time.Time, replica string, incarnation int64, firstUse time.Time) {
	cr.mu.Lock()
	retracted := cr.breaker.RetractCrashes(now, replica, incarnation, firstUse)
	cr.mu.Unlock()
	if retracted {
		_ = cr.Logger.Log("msg", "A replica whose crash was counted is alive.", "replica", replica, "incarnation", incarnation)
		cr.requestWrite()
	}
}

func (cr *Crashes) empty() bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.breaker.Empty()
}

// check reports whether a request with these fingerprints may be sent to a replica now,
// were it not for trials of other requests.
func (cr *Crashes) check(now time.Time, fps []quarantine.Fingerprint) crashbreaker.Verdict {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.breaker.Check(now, fps...)
}

// admit decides whether a request, identified by its id, with these fingerprints may be
// sent to a replica now.
func (cr *Crashes) admit(now time.Time, request string, fps []quarantine.Fingerprint) crashbreaker.Verdict {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.breaker.Admit(now, request, fps...)
}

// MergeRecords merges the crash records of all instances on the platform, including
// those of instances that have ended. The argument wall is the wall-clock time at now.
// Records that can't be decoded are logged and skipped.
func (cr *Crashes) MergeRecords(now, wall time.Time, records []topicview.Record) {
	logged := 0
	for _, stored := range records {
		if len(stored.Value) == 0 {
			continue
		}
		var p persistedRecord
		if err := json.Unmarshal(stored.Value, &p); err != nil {
			_ = cr.Logger.Log("msg", "Ignored an invalid crash record.", "key", stored.Key, "err", err)
			continue
		}
		for _, c := range p.Fingerprints {
			// A time in the future comes from a clock that is ahead.
			at := func(stored time.Time) time.Time { return now.Add(-max(0, wall.Sub(stored))) }
			rec := crashbreaker.Record{Fingerprint: c.Fingerprint, Part: c.Part}
			if !c.Cleared.IsZero() {
				rec.ClearedUntil = at(c.Cleared)
			}
			for _, crash := range c.Crashes {
				merged := crashbreaker.Crash{ReplicaDigest: crash.ReplicaDigest, Seq: crash.Seq, At: at(crash.At)}
				if c.Part {
					merged.SentAt, merged.Request = at(crash.SentAt), crash.Request
				}
				rec.Crashes = append(rec.Crashes, merged)
			}
			cr.merge(now, rec, peering.Unrelated, "platform", &logged)
		}
	}
	cr.mu.Lock()
	cr.loaded = true
	cr.mu.Unlock()
}

// WriteAgain requests that the crash record is written again, since the platform's log may
// have lost it. It does nothing if there are no crashes.
func (cr *Crashes) WriteAgain() {
	cr.mu.Lock()
	cr.written = nil
	cr.mu.Unlock()
	if !cr.empty() {
		cr.requestWrite()
	}
}

// requestWrite requests a write of the crash record by Run. It does not block.
func (cr *Crashes) requestWrite() {
	select {
	case cr.unsaved <- struct{}{}:
	default:
	}
}

// Run writes the crash record after changes and deletes expired crashes, until ctx ends.
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
			_ = cr.Logger.Log("msg", "The crash record is not written yet.", "err", err)
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
