package admission

import (
	"context"
	"sync/atomic"
	"time"

	"crocusfold.dev/entry/message"
)

// Times of sharing.
const (
	// quietInterval is between messages while nothing changes; they keep what
	// was said before fresh.
	quietInterval = time.Second
	// fullInterval is between messages with all upstreams, for instances that
	// came in between or missed a message.
	fullInterval = 5 * time.Second
	// minChange is the change of a load, in requests, that is always too small
	// to be told.
	minChange = 1
	// backlogStep is the size of a change of a backlog, in milliseconds.
	backlogStep = 50
)

// word is what an instance has heard of one sponsor, and when.
type word struct {
	at    atomic.Pointer[time.Time]
	start int64
	seq   uint64
	whole bool
}

func (w *word) hear(now time.Time) { w.at.Store(&now) }

func (w *word) fresh(now time.Time) bool {
	at := w.at.Load()
	return at != nil && now.Sub(*at) <= loadFresh
}

// age returns the time since the sponsor was heard.
func (w *word) age(now time.Time) time.Duration {
	if at := w.at.Load(); at != nil {
		return now.Sub(*at)
	}
	return loadFresh
}

// news is what a sponsor has told its peers. Only round uses it.
type news struct {
	start    int64
	seq      uint64
	told     map[uint64]message.Load
	lastSent time.Time
	lastFull time.Time
}

// share tells the peers of the region which loads changed, and now and then all.
func (f *Admission) share(ctx context.Context, now time.Time, loads []message.Load) {
	n := &f.news
	full := now.Sub(n.lastFull) >= fullInterval
	changed, urgent := n.changes(loads)
	if !full && !urgent && now.Sub(n.lastSent) < quietInterval {
		return
	}
	if n.start == 0 {
		n.start = now.UnixNano()
	}
	n.seq++
	n.lastSent = now
	msg := message.Loads{Start: n.start, Seq: n.seq, Full: full, Loads: changed}
	if full {
		n.lastFull = now
		msg.Loads = loads
		n.told = nil
	}
	n.tell(msg.Loads)
	for _, m := range f.Follower.InRegion(now) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pollLimit)
			defer cancel()
			_, _ = f.Endpoint.Call(ctx, m, msg)
		}()
	}
}

// changes returns the loads that differ enough from what was told, and whether
// one of them can't wait: an upstream that was warm and is not, or that gave no
// report.
func (n *news) changes(loads []message.Load) (changed []message.Load, urgent bool) {
	reported := make(map[uint64]bool, len(loads))
	for _, l := range loads {
		reported[l.Upstream] = true
		old, known := n.told[l.Upstream]
		switch {
		case known && old.Warm && (!l.Warm || l.Incarnation != old.Incarnation || l.Version != old.Version):
			urgent = true
		case known && l.Warm == old.Warm && l.Incarnation == old.Incarnation && near(l.Running, old.Running) && near(l.BacklogMillis/backlogStep, old.BacklogMillis/backlogStep):
			continue
		}
		changed = append(changed, l)
	}
	for name, old := range n.told {
		if old.Warm && !reported[name] {
			old.Warm = false
			urgent = true
			changed = append(changed, old)
		}
	}
	return changed, urgent
}

// near reports whether two numbers of requests differ too little to be told.
func near(a, b int) bool {
	d := a - b
	return d*d <= minChange*minChange || 4*max(d, -d) <= max(a, b)
}

// tell notes what the peers are told.
func (n *news) tell(loads []message.Load) {
	if n.told == nil {
		n.told = map[uint64]message.Load{}
	}
	for _, l := range loads {
		n.told[l.Upstream] = l
	}
}

// takeNews takes a sponsor's message. After a gap nothing of the sponsor's word
// is kept fresh until a message with all upstreams.
func (f *Admission) takeNews(now time.Time, from string, m message.Loads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.words[from]
	if !ok {
		w = &word{}
		f.words[from] = w
	}
	next := m.Start == w.start && m.Seq == w.seq+1
	if m.Start < w.start || (m.Start == w.start && m.Seq <= w.seq) {
		return
	}
	w.whole = m.Full || (next && w.whole)
	w.start, w.seq = m.Start, m.Seq
	if !w.whole {
		return
	}
	f.takeLoads(w, m.Loads)
	w.hear(now)
}

func (f *Admission) takeLoads(w *word, loads []message.Load) {
	for _, l := range loads {
		f.stateOf(l.Upstream).load.Store(&reported{l, w})
	}
}
