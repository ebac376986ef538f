package canary

import (
	"math"
	"time"
)

const (
	// buckets is the number of buckets of response times. The first has times under 1 ms,
	// the last those over 33 s.
	buckets = 32
	// bucketsPerDoubling is the number of buckets for each doubling of the time.
	bucketsPerDoubling = 2
	// minTimes is the number of times of the old version from which what is usual is
	// known.
	minTimes = 20
	// usualPart is the part of the old version's responses that take no longer than what
	// is usual.
	usualPart = 0.9
	// A time is slow if it is this many buckets over what is usual: 1.4 to 2 times as long
	// for gaps and for responses without events, and 2.8 to 4 times for first events of
	// streams, which depend on the context that a replica happens to have. A version that is 3
	// times slower moves its times by 3 buckets.
	slowBuckets      = 2
	slowFirstBuckets = 4
)

// bucketOf returns the bucket of a response time: 0 for times under 1 ms, and
// bucketsPerDoubling buckets for each doubling.
func bucketOf(d time.Duration) int {
	if d < time.Millisecond {
		return 0
	}
	return min(1+int(bucketsPerDoubling*math.Log2(float64(d)/float64(time.Millisecond))), buckets-1)
}

// place is where times are compared.
type place struct{ route, dataCentre string }

// times has the times of the old version at one place.
type times struct {
	firstEvent, meanGap  [buckets]uint64
	firstTotal, gapTotal uint64
	slowFirst, slowGap   int // the first slow bucket, 0 if not known
	refreshedAt          uint64
}

func (e *evidence) timesAt(p place) *times {
	t := e.places[p]
	if t == nil {
		t = &times{}
		e.places[p] = t
	}
	return t
}

func (t *times) add(d *Cell) {
	t.firstTotal += addTotals(&t.firstEvent, d.FirstEvent)
	t.gapTotal += addTotals(&t.meanGap, d.MeanGap)
}

func addTotals(sum *[buckets]uint64, d []uint32) (total uint64) {
	for i, n := range d[:min(len(d), buckets)] {
		sum[i] += uint64(n)
		total += uint64(n)
	}
	return total
}

// time counts the times of an outcome in d: in buckets if the replica is old, and as slow
// or not if it is known what is usual there.
func (e *evidence) time(d *Cell, o Outcome) {
	if o.Cold {
		return
	}
	t := e.timesAt(place{o.Route, o.DataCentre})
	extra := 0
	if stage(d.Stage) == stageBoost {
		extra = 1
	}
	timed, slow := false, false
	if o.FirstEvent > 0 {
		b := bucketOf(o.FirstEvent)
		if !o.Target {
			d.FirstEvent = make([]uint32, b+1)
			d.FirstEvent[b] = 1
		}
		timed = t.slowFirst > 0
		slow = timed && b >= t.slowFirst+extra
	}
	if o.MeanGap > 0 {
		b := bucketOf(o.MeanGap)
		if !o.Target {
			d.MeanGap = make([]uint32, b+1)
			d.MeanGap[b] = 1
		}
		timed = timed || t.slowGap > 0
		slow = slow || t.slowGap > 0 && b >= t.slowGap+extra
	}
	if timed {
		d.Timed = 1
	}
	if slow {
		d.Slow = 1
	}
}

// refresh finds anew what is usual for the old version at each place.
func (e *evidence) refresh() {
	for _, t := range e.places {
		if t.firstTotal+t.gapTotal == t.refreshedAt {
			continue
		}
		t.refreshedAt = t.firstTotal + t.gapTotal
		t.slowGap = slowFrom(&t.meanGap, t.gapTotal, slowBuckets)
		over := slowBuckets
		if t.gapTotal > 0 {
			over = slowFirstBuckets
		}
		t.slowFirst = slowFrom(&t.firstEvent, t.firstTotal, over)
	}
}

// slowFrom returns the first bucket of slow times, 0 if it is not known.
func slowFrom(times *[buckets]uint64, total uint64, over int) int {
	if total < minTimes {
		return 0
	}
	limit, sum := uint64(math.Ceil(usualPart*float64(total))), uint64(0)
	for i, n := range times {
		if sum += n; sum >= limit {
			return i + over
		}
	}
	return 0
}
