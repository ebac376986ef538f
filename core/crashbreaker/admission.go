package crashbreaker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/quarantine"
)

const (
	// firstTrialDelay is the block time before the first trial. It applies only on
	// the instance that observed the last crash, whose trial serves all instances.
	// It is short because a harmless request may have run on three replicas that
	// crashed at the same moment.
	firstTrialDelay = 5 * time.Second
	// separationDelay is the block time before the first trial of a part that another
	// blocked part was run with. It applies to requests that have only one of them. The
	// delay lets the successes that clear a part arrive first.
	separationDelay = 400 * time.Millisecond
	// trialTimeout is how long other requests wait for the outcome of a trial.
	trialTimeout = 10 * time.Second
)

// blockTimes has how long a fingerprint is blocked after its last crash, by the
// number of crashes from the threshold on; jitter adds up to as much again. After
// each block time one trial is allowed, so that a harmless request is not blocked
// for long and a harmful one crashes few more replicas.
var blockTimes = [...]time.Duration{time.Minute, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour}

// Blocked reports whether the breaker of a fingerprint is open, and until when.
// The time is zero if the fingerprint is below the threshold or has expired, and
// in the past if a trial is due.
func (b *Breaker) Blocked(now time.Time, fp quarantine.Fingerprint) (until time.Time, blocked bool) {
	rec, known := b.records[fp]
	if !known || !rec.tripped() || rec.expired(now) {
		return time.Time{}, false
	}
	last := rec.lastCrash()
	if rec.excess() == 0 && rec.lastObserved.Equal(last) {
		until = last.Add(firstTrialDelay)
		return until, now.Before(until)
	}
	blockTime := blockTimes[min(rec.excess(), len(blockTimes)-1)]
	until = last.Add(blockTime + time.Duration(b.jitter(fp)*float64(blockTime)))
	return until, now.Before(until)
}

// jitter returns a fraction in [0, 1) that is fixed for an instance and a
// fingerprint.
func (b *Breaker) jitter(fp quarantine.Fingerprint) float64 {
	sum := xxhash.Sum64(binary.BigEndian.AppendUint64(fp[:], b.Seed))
	return float64(sum>>11) / (1 << 53)
}

// Verdict says whether a request may be sent to a replica.
type Verdict struct {
	Allowed bool
	// After is how long to wait before the next call, and Fingerprint the blocked one, if
	// the request is not allowed. Part is true if that is a part of its prompt.
	After       time.Duration
	Fingerprint quarantine.Fingerprint
	Part        bool
}

// Check reports whether a request with these fingerprints may be sent to a replica now,
// were it not for trials of other requests.
func (b *Breaker) Check(now time.Time, fps ...quarantine.Fingerprint) Verdict {
	v, _ := b.check(now, fps)
	return v
}

// check also returns the records of the open breakers for which a trial is due.
func (b *Breaker) check(now time.Time, fps []quarantine.Fingerprint) (Verdict, []*record) {
	var open []*record
	for _, fp := range fps {
		if until, blocked := b.Blocked(now, fp); blocked || !until.IsZero() {
			open = append(open, b.records[fp])
		}
	}
	v := Verdict{Allowed: true}
	for _, rec := range open {
		until, _ := b.Blocked(now, rec.Fingerprint)
		if len(open) == 1 && b.inseparable(now, rec) {
			until = minTime(until, rec.lastCrash().Add(separationDelay))
		}
		after := until.Sub(now)
		if rec.Part && rec.excess() == 0 {
			// The trial at the instance that observed the last crash may end the block.
			after = min(after, firstTrialDelay)
		}
		if after > v.After {
			v = Verdict{After: after, Fingerprint: rec.Fingerprint, Part: rec.Part}
		}
	}
	return v, open
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Admit decides whether a request, identified by its id, with these fingerprints may be
// sent to a replica now. Once the block time of a fingerprint is over, Admit allows a
// trial: other requests with the fingerprint are refused until the trial's outcome is
// recorded or trialTimeout has passed.
func (b *Breaker) Admit(now time.Time, request string, fps ...quarantine.Fingerprint) Verdict {
	v, open := b.check(now, fps)
	if !v.Allowed {
		return v
	}
	for _, rec := range open {
		if rec.trial != request && now.Before(rec.trialUntil) {
			return Verdict{After: rec.trialUntil.Sub(now), Fingerprint: rec.Fingerprint, Part: rec.Part}
		}
	}
	for _, rec := range open {
		rec.trial, rec.trialUntil = request, now.Add(trialTimeout)
	}
	return v
}
