// Package poison finds requests that take down each replica that runs them, and
// keeps them from further ones. What instances know is merged without an order:
// an end of a replica counts once, whoever tells of it and however often.
package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/suspect"
)

// Bounds of what is kept.
const (
	// mostEnds is the number of replicas that a request may take down.
	mostEnds = 3
	// endLife is how long the ends count of a request that is not barred.
	endLife = 2 * time.Minute
	// barredLife is how long they count of one that is; it is longer than any bar.
	barredLife = 48 * time.Hour
	// openLife is how long a run without an answer may turn out to have ended with
	// its replica. The list of replicas tells after three heartbeats and its lag.
	openLife = 15 * time.Second
	// firstTrial is when the instance that noticed the last end allows the first
	// trial, for all: an innocent request may have been at three ends of one moment.
	firstTrial = 5 * time.Second
	// answerMargin is how long an answer may still arrive that was sent before the
	// replica ended.
	answerMargin = 200 * time.Millisecond
	// trialLife is how long others wait for the outcome of a trial.
	trialLife = 10 * time.Second
	// maxRecords and maxOpen bound the requests and the runs that are kept.
	maxRecords = 2000
	maxOpen    = 2000
	// maxKept bounds the requests in the record for the platform.
	maxKept = 200
)

// bars has how long a request is barred after its last end, by the number of
// ends from mostEnds on. After each bar one trial is allowed, so that an innocent
// request is not barred for long and a guilty one takes down few more.
var bars = [...]time.Duration{time.Minute, 10 * time.Minute, 2 * time.Hour, 24 * time.Hour}

// Run is one run of a request at a replica.
type Run struct {
	Content suspect.Content
	// Replica and Incarnation name the replica, Began is when the run was sent.
	Replica     string
	Incarnation int64
	Began       time.Time
}

// End is one end of a replica that ran a request. Replica and Round are the same
// at all instances that noticed it.
type End struct {
	// Replica is the digest of the replica's incarnation.
	Replica uint64
	// Round tells the ends of one incarnation apart whose restart is not known yet.
	Round int
	At    time.Time
	// Void is true if the replica has proved since that it lives.
	Void bool
}

// Record is what is known of one request.
type Record struct {
	Content suspect.Content
	Ends    []End
	// Cleared is the start of the last run that was answered with success; zero if
	// there was none. Ends before it don't count.
	Cleared time.Time
}

// Register holds the ends of all requests. The zero value is empty. It is not
// safe for concurrent use.
type Register struct {
	// Seed differs between instances, so that they don't allow trials together.
	Seed    uint64
	records map[suspect.Content]*record
	open    []openRun
	// changed is when any record last changed.
	changed time.Time
}

type record struct {
	Record
	// changed is when the record last changed here, and noticed is true if that
	// was ever by a run of this instance.
	changed time.Time
	noticed bool
	// ownLast is the newest end that this instance noticed.
	ownLast time.Time
	// trial is the request that may run until trialUntil although the record bars
	// its content.
	trial      string
	trialUntil time.Time
}

type openRun struct {
	Run
	at time.Time
}

// Ends returns the number of ends of a content.
func (g *Register) Ends(c suspect.Content) int {
	if rec, ok := g.records[c]; ok {
		return rec.count()
	}
	return 0
}

// Sweep forgets what no longer counts.
func (g *Register) Sweep(now time.Time) {
	for c, rec := range g.records {
		if rec.expired(now) {
			delete(g.records, c)
		}
	}
}

// Empty reports whether no request is known.
func (g *Register) Empty() bool { return len(g.records) == 0 }

// Ended notes that a run ended with its replica.
func (g *Register) Ended(now time.Time, r Run) {
	rec := g.record(now, r.Content)
	replica := Digest(r.Replica, r.Incarnation)
	round := 0
	for _, e := range rec.Ends {
		if e.Replica != replica {
			continue
		}
		if !e.Void && !e.At.Before(r.Began) {
			return
		}
		// That one is void or was before the run began, so this is another.
		round = max(round, e.Round+1)
	}
	rec.Ends = append(rec.Ends, End{Replica: replica, Round: round, At: now})
	g.touch(now, rec)
	rec.noticed, rec.ownLast = true, now
}

// Digest names a replica's incarnation.
func Digest(replica string, incarnation int64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(replica), uint64(incarnation)))
}

// Lives takes an answer of a replica on a connection that was first used at
// opened. Ends between the two were none, since the connection outlived them. It
// reports whether there were such.
func (g *Register) Lives(now time.Time, replica string, incarnation int64, opened time.Time) bool {
	if len(g.records) == 0 {
		return false
	}
	digest, any := Digest(replica, incarnation), false
	for _, rec := range g.records {
		for i := range rec.Ends {
			e := &rec.Ends[i]
			if e.Replica == digest && !e.Void && opened.Before(e.At) && now.Sub(e.At) > answerMargin {
				e.Void, any = true, true
				g.touch(now, rec)
				rec.noticed = true
			}
		}
	}
	return any
}

// Unanswered notes a run of which nothing was heard before its time was over or
// its caller left. It counts if its replica turns out to have ended.
func (g *Register) Unanswered(now time.Time, r Run) {
	for len(g.open) > 0 && (len(g.open) >= maxOpen || now.Sub(g.open[0].at) > openLife) {
		g.open = g.open[1:]
	}
	g.open = append(g.open, openRun{r, now})
}

// ReplicaEnded takes the end of a replica's incarnation, which was not asked for,
// and returns the runs that ended with it.
func (g *Register) ReplicaEnded(now time.Time, replica string, incarnation int64) []Run {
	var ended []Run
	kept := g.open[:0]
	for _, o := range g.open {
		switch {
		case now.Sub(o.at) > openLife:
		case o.Replica == replica && o.Incarnation == incarnation:
			g.Ended(now, o.Run)
			ended = append(ended, o.Run)
		default:
			kept = append(kept, o)
		}
	}
	g.open = kept
	return ended
}

// Succeeded notes a run that was answered with success. Ends since it began
// still count.
func (g *Register) Succeeded(now time.Time, c suspect.Content, began time.Time) {
	rec, ok := g.records[c]
	if !ok || !rec.clear(began) {
		return
	}
	g.touch(now, rec)
	rec.noticed = true
}

// touch marks a record as changed.
func (g *Register) touch(now time.Time, rec *record) { g.changed, rec.changed = now, now }

// Barred returns until when a content must not run; ok is false if it may.
func (g *Register) Barred(now time.Time, c suspect.Content) (until time.Time, ok bool) {
	rec, known := g.records[c]
	if !known || rec.count() < mostEnds || rec.expired(now) {
		return time.Time{}, false
	}
	last := rec.last()
	if rec.count() == mostEnds && rec.ownLast.Equal(last) {
		until = last.Add(firstTrial)
		return until, now.Before(until)
	}
	bar := bars[min(rec.count()-mostEnds, len(bars)-1)]
	until = last.Add(bar + time.Duration(g.spread(c)*float64(bar)))
	return until, now.Before(until)
}

// spread is between 0 and 1, differently for each instance and content.
func (g *Register) spread(c suspect.Content) float64 {
	sum := xxhash.Sum64(binary.BigEndian.AppendUint64(c[:], g.Seed))
	return float64(sum>>11) / (1 << 53)
}

// Admit decides whether a request may be sent to a replica now. If not, it
// returns when to come back.
func (g *Register) Admit(now time.Time, c suspect.Content, request string) (after time.Duration, ok bool) {
	until, barred := g.Barred(now, c)
	if barred {
		return until.Sub(now), false
	}
	if until.IsZero() {
		return 0, true
	}
	rec := g.records[c]
	if rec.trial != request && now.Before(rec.trialUntil) {
		return rec.trialUntil.Sub(now), false
	}
	rec.trial, rec.trialUntil = request, now.Add(trialLife)
	return 0, true
}

// Hear merges what another instance knows, and reports whether it was new.
func (g *Register) Hear(now time.Time, heard Record) bool {
	rec := g.record(now, heard.Content)
	changed := false
	for _, e := range heard.Ends {
		known := rec.end(e)
		switch {
		case known != nil && e.Void && !known.Void:
			known.Void, changed = true, true
		case known == nil && e.At.After(rec.Cleared):
			rec.Ends = append(rec.Ends, e)
			changed = true
		}
	}
	if rec.clear(heard.Cleared) {
		changed = true
	}
	switch {
	case changed:
		g.touch(now, rec)
	case len(rec.Ends) == 0 && rec.Cleared.IsZero():
		delete(g.records, heard.Content)
	}
	return changed
}

// Since returns the records for a peer that heard all up to a moment. One end
// alone is told only by the instance that noticed it, since many requests end
// with a replica.
func (g *Register) Since(now, moment time.Time) []Record {
	if g.changed.Before(moment) {
		return nil
	}
	var out []Record
	for _, rec := range g.records {
		if !rec.changed.Before(moment) && (rec.noticed || rec.count() > 1) && !rec.expired(now) {
			out = append(out, rec.copy())
		}
	}
	return out
}

// Kept returns the records that must outlive all instances: those of requests
// that were there at more than one end, the ones with the most ends first.
func (g *Register) Kept(now time.Time) []Record {
	var some []*record
	for _, rec := range g.records {
		if rec.count() > 1 && !rec.expired(now) {
			some = append(some, rec)
		}
	}
	slices.SortFunc(some, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.count(), a.count()), b.last().Compare(a.last()))
	})
	var out []Record
	for _, rec := range some[:min(len(some), maxKept)] {
		out = append(out, rec.copy())
	}
	return out
}

// record returns the record of a content, and makes room for a new one.
func (g *Register) record(now time.Time, c suspect.Content) *record {
	rec, ok := g.records[c]
	if ok && !rec.expired(now) {
		return rec
	}
	if g.records == nil {
		g.records = map[suspect.Content]*record{}
	}
	if !ok && len(g.records) >= maxRecords {
		g.makeRoom(now)
	}
	rec = &record{Record: Record{Content: c}, changed: now}
	g.records[c] = rec
	return rec
}

// makeRoom drops what is over, or else the oldest record of those with the
// fewest ends.
func (g *Register) makeRoom(now time.Time) {
	var least *record
	for c, rec := range g.records {
		switch {
		case rec.expired(now):
			delete(g.records, c)
		case least == nil || rec.count() < least.count() || rec.count() == least.count() && rec.changed.Before(least.changed):
			least = rec
		}
	}
	if len(g.records) >= maxRecords {
		delete(g.records, least.Content)
	}
}

// end finds what is known of an end; nil is nothing.
func (r *record) end(other End) *End {
	for i := range r.Ends {
		if e := &r.Ends[i]; e.Replica == other.Replica && e.Round == other.Round {
			return e
		}
	}
	return nil
}

// count is the number of ends that count.
func (r *record) count() int {
	n := 0
	for _, e := range r.Ends {
		if !e.Void {
			n++
		}
	}
	return n
}

// last is the time of the newest end that counts.
func (r *record) last() time.Time {
	var last time.Time
	for _, e := range r.Ends {
		if !e.Void && e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// clear drops the ends up to a moment, and reports whether that is news.
func (r *record) clear(moment time.Time) bool {
	if !moment.After(r.Cleared) {
		return false
	}
	r.Cleared = moment
	kept := r.Ends[:0:0]
	for _, e := range r.Ends {
		if e.At.After(moment) {
			kept = append(kept, e)
		}
	}
	r.Ends = kept
	return true
}

func (r *record) expired(now time.Time) bool {
	life := endLife
	if r.count() >= mostEnds {
		life = barredLife
	}
	newest := r.Cleared
	for _, e := range r.Ends {
		if e.At.After(newest) {
			newest = e.At
		}
	}
	return !newest.IsZero() && now.Sub(newest) > life
}

func (r *record) copy() Record {
	out := r.Record
	out.Ends = append([]End(nil), r.Ends...)
	return out
}
