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

// Usual says which times are slow at one place, as found from the times of the old
// version. Of two, the one from more times counts.
type Usual struct {
	Route      string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Times is the number of times that it was found from.
	Times uint64 `cbor:"3,keyasint"`
	// SlowFirst and SlowGap are the first buckets of slow times to the first event and
	// between events, 0 if that is not known.
	SlowFirst uint8 `cbor:"4,keyasint,omitempty"`
	SlowGap   uint8 `cbor:"5,keyasint,omitempty"`
}

// times has the times of the old version at one place.
type times struct {
	firstEvent, meanGap  [buckets]uint64
	firstTotal, gapTotal uint64
	usual                Usual
	// changed is when usual last changed.
	changed time.Time
}

func (e *evidence) timesAt(p place) *times {
	t := e.places[p]
	if e.places == nil {
		e.places = map[place]*times{}
	}
	if t == nil {
		t = &times{usual: Usual{Route: p.route, DataCentre: p.dataCentre}}
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
		timed = t.usual.SlowFirst > 0
		slow = timed && b >= int(t.usual.SlowFirst)+extra
	}
	if o.MeanGap > 0 {
		b := bucketOf(o.MeanGap)
		if !o.Target {
			d.MeanGap = make([]uint32, b+1)
			d.MeanGap[b] = 1
		}
		timed = timed || t.usual.SlowGap > 0
		slow = slow || t.usual.SlowGap > 0 && b >= int(t.usual.SlowGap)+extra
	}
	if timed {
		d.Timed = 1
	}
	if slow {
		d.Slow = 1
	}
}

// refresh finds anew what is usual for the old version at each place, once there are a
// quarter more times.
func (e *evidence) refresh(now time.Time) {
	for p, t := range e.places {
		total := t.firstTotal + t.gapTotal
		if total < minTimes || total < t.usual.Times+t.usual.Times/4 {
			continue
		}
		over := slowBuckets
		if t.gapTotal > 0 {
			over = slowFirstBuckets
		}
		u := Usual{p.route, p.dataCentre, total, slowFrom(&t.firstEvent, t.firstTotal, over), slowFrom(&t.meanGap, t.gapTotal, slowBuckets)}
		if u.SlowFirst != t.usual.SlowFirst || u.SlowGap != t.usual.SlowGap {
			t.changed = now
		}
		t.usual = u
	}
}

// mergeUsual takes in what a peer has found. Malformed buckets are larger than any.
func (e *evidence) mergeUsual(now time.Time, u Usual) {
	p := place{u.Route, u.DataCentre}
	if e.places[p] == nil && len(e.places) >= maxCells {
		return
	}
	if t := e.timesAt(p); u.Times > t.usual.Times {
		if u.SlowFirst != t.usual.SlowFirst || u.SlowGap != t.usual.SlowGap {
			t.changed = now
		}
		t.usual = u
	}
}

// usual returns what has changed since a time.
func (e *evidence) usual(since time.Time) []Usual {
	var out []Usual
	for _, t := range e.places {
		if t.usual.Times > 0 && !t.changed.Before(since) {
			out = append(out, t.usual)
		}
	}
	return out
}

// slowFrom returns the first bucket of slow times, 0 if it is not known.
func slowFrom(times *[buckets]uint64, total uint64, over int) uint8 {
	if total < minTimes {
		return 0
	}
	limit, sum := uint64(math.Ceil(usualPart*float64(total))), uint64(0)
	for i, n := range times {
		if sum += n; sum >= limit {
			return uint8(i + over)
		}
	}
	return 0
}
