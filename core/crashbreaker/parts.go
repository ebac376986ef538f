package crashbreaker

import (
	"slices"
	"time"

	"crocusfold.dev/core/quarantine"
)

const (
	// answeredThreshold is the number of waves of crashes that opens the breaker of a
	// part of which a run has succeeded before. It is higher than crashThreshold, since
	// such a part is more likely one that was run beside the cause.
	answeredThreshold = 6
	// maxPartCrashes bounds the crashes in the record of a part.
	maxPartCrashes = 32
	// maxRecentTimes bounds the times in each half of a recentTimes.
	maxRecentTimes = 4096
)

// RecordAnswered records that a run with these parts has succeeded, or has gone on for
// longer than a run that crashes its replica. The parts' crashes up to now don't count. It
// reports whether that ended a block.
func (b *Breaker) RecordAnswered(now time.Time, parts []quarantine.Fingerprint) bool {
	unblocked := false
	for _, fp := range parts {
		b.answered.set(fp, now)
		rec, ok := b.records[fp]
		if !ok {
			continue
		}
		ended := rec.tripped()
		unblocked = unblocked || ended
		if rec.retractUntil(now) {
			b.markRetracted(now, rec, ended)
		}
		rec.ClearedUntil = now
	}
	return unblocked
}

// mergePart merges a part's record of another instance, and reports whether that changed
// anything, or whether this instance knows more and has to pass that on.
func (b *Breaker) mergePart(now time.Time, remote Record) bool {
	rec := b.partRecord(now, remote.Fingerprint)
	changed := false
	for _, c := range remote.Crashes {
		known := rec.crash(c)
		switch {
		case c.Retracted && (known == nil || known.Retracted):
		case c.Retracted:
			known.Retracted, changed = true, true
		case known != nil && known.Retracted, !c.At.After(rec.ClearedUntil):
			// The other instance does not know that the crash does not count.
			changed = true
		case known == nil:
			changed = rec.add(c) || changed
		}
	}
	changed = rec.retractUntil(remote.ClearedUntil) || changed
	if remote.ClearedUntil.Sub(rec.ClearedUntil) > clockTolerance {
		changed = changed || rec.ClearedUntil.IsZero() && rec.crashCount() > 0
		rec.ClearedUntil = remote.ClearedUntil
	}
	switch {
	case changed:
		b.markChanged(now, rec)
	case len(rec.Crashes) == 0 && rec.ClearedUntil.IsZero():
		delete(b.records, remote.Fingerprint)
	}
	return changed
}

// blamedParts returns the parts that a crash of a run with these parts counts against:
// those that are blocked already, or all if none is.
func (b *Breaker) blamedParts(now time.Time, parts []quarantine.Fingerprint) []quarantine.Fingerprint {
	var blocked []quarantine.Fingerprint
	for _, fp := range parts {
		if rec, ok := b.records[fp]; ok && rec.tripped() && !rec.expired(now) {
			blocked = append(blocked, fp)
		}
	}
	if len(blocked) > 0 {
		return blocked
	}
	return parts
}

// partRecord returns the record of a part, with the time at which a run with it last
// succeeded on this instance.
func (b *Breaker) partRecord(now time.Time, fp quarantine.Fingerprint) *record {
	rec := b.record(now, fp)
	rec.Part = true
	if at := b.answered.get(fp); at.After(rec.ClearedUntil) {
		rec.ClearedUntil = at
	}
	return rec
}

// BlockedParts returns the number of parts that are blocked.
func (b *Breaker) BlockedParts(now time.Time) int {
	n := 0
	for fp, rec := range b.records {
		if _, blocked := b.Blocked(now, fp); blocked && rec.Part {
			n++
		}
	}
	return n
}

// inseparable reports whether the crashes of a blocked part were also crashes of another
// blocked part, and none of the part alone has come since. Either may be harmless.
func (b *Breaker) inseparable(now time.Time, rec *record) bool {
	if !rec.Part || rec.excess() > 0 {
		return false
	}
	for _, other := range b.records {
		if other != rec && other.Part && len(other.Crashes) > 1 && other.tripped() && !other.expired(now) && other.sharesCrash(rec) {
			return true
		}
	}
	return false
}

// sharesCrash reports whether both records have the same crash.
func (r *record) sharesCrash(other *record) bool {
	for _, c := range r.Crashes {
		if known := other.crash(c); known != nil && !known.Retracted && !c.Retracted {
			return true
		}
	}
	return false
}

// threshold returns the number of crashes that opens the breaker.
func (r *record) threshold() int {
	if r.Part && !r.ClearedUntil.IsZero() {
		return answeredThreshold
	}
	return crashThreshold
}

// weight returns the number of crashes that count: all of a whole request, and the waves
// of a part. If a part that has never succeeded crashes many replicas in long waves, two
// of them are enough.
func (r *record) weight() int {
	n := r.crashCount()
	if !r.Part || n < 2 {
		return n
	}
	waves := r.waves()
	if waves == 2 && n >= 2*crashThreshold && r.ClearedUntil.IsZero() {
		return crashThreshold
	}
	return waves
}

// tripped reports whether the breaker is open.
func (r *record) tripped() bool { return r.weight() >= r.threshold() }

// excess returns the number of crashes above the threshold.
func (r *record) excess() int { return r.weight() - r.threshold() }

// waves returns the length of a chain of crashes, each of which hit another request that
// was sent after the one before. Replicas that crash at once for a cause of their own, such
// as a loss of power, add one wave, however many of them ran the part. A request that
// crashes replicas again and again adds one too, since it may be blocked by itself.
func (r *record) waves() int {
	crashes := make([]Crash, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		if !c.Retracted {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(x, y Crash) int { return x.At.Compare(y.At) })
	counted := map[uint64]bool{}
	last := time.Time{}
	for _, c := range crashes {
		if !counted[c.Request] && !c.SentAt.Before(last) {
			counted[c.Request], last = true, c.At
		}
	}
	return len(counted)
}

// retractUntil retracts the crashes up to a time, and reports whether there were any that
// counted.
func (r *record) retractUntil(until time.Time) bool {
	changed := false
	for i := range r.Crashes {
		if c := &r.Crashes[i]; !c.Retracted && !c.At.After(until) {
			c.Retracted, changed = true, true
		}
	}
	return changed
}

// add adds a crash of a part and reports whether it did. A full record drops a crash that
// does not count for it, and otherwise takes only one that adds a wave.
func (r *record) add(c Crash) bool {
	if len(r.Crashes) >= maxPartCrashes {
		i := slices.IndexFunc(r.Crashes, func(known Crash) bool { return known.Retracted })
		if i >= 0 {
			r.Crashes = slices.Delete(r.Crashes, i, i+1)
		} else {
			extended := record{Record: Record{Part: true, Crashes: append(slices.Clone(r.Crashes), c)}}
			if extended.waves() == r.waves() {
				return false
			}
		}
	}
	r.Crashes = append(r.Crashes, c)
	return true
}

// recentTimes has the times of the most recently set keys, at least maxRecentTimes of
// them. The zero value is empty.
type recentTimes struct {
	current, previous map[quarantine.Fingerprint]time.Time
}

func (t *recentTimes) get(fp quarantine.Fingerprint) time.Time {
	if at, ok := t.current[fp]; ok {
		return at
	}
	return t.previous[fp]
}

func (t *recentTimes) set(fp quarantine.Fingerprint, at time.Time) {
	if t.current == nil || len(t.current) >= maxRecentTimes {
		t.current, t.previous = map[quarantine.Fingerprint]time.Time{}, t.current
	}
	t.current[fp] = at
}
