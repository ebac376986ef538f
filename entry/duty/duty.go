// Package duty does the work that one instance does for all: it orders replicas
// to load new weights and frees what stores hold in vain. The membership of a
// group of the platform's log says who holds the duty.
package duty

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/reload"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/setup"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/entry/upstreams"
	"crocusfold.dev/shell/clock"
)

// Times of a duty.
const (
	// memberLife is how long a member that sends nothing keeps its duties.
	memberLife = 1200 * time.Millisecond
	// renewEvery is the pause between two renewals.
	renewEvery = 250 * time.Millisecond
	// stepEvery is the pause between two looks at what there is to do.
	stepEvery = 50 * time.Millisecond
	// idleEvery is that pause while another instance holds the duty.
	idleEvery = 500 * time.Millisecond
	// reportEvery is the pause between two questions whether weights are loaded.
	reportEvery = 80 * time.Millisecond
	// loadLimit is how long the loading of weights is watched.
	loadLimit = 2500 * time.Millisecond
	// freeAfter is the time from the last use of weights until what stores hold
	// of them is freed. It is longer than any fetch.
	freeAfter = 1800 * time.Millisecond
	// freeAfterStop is that time if all instances have told that they do not
	// fetch it any more, after fetches that were bounded more closely.
	freeAfterStop = 800 * time.Millisecond
	// cleanEvery is the pause between two looks at the stores.
	cleanEvery = 250 * time.Millisecond
)

// Duty is safe for concurrent use. The exported fields must be set before Run.
type Duty struct {
	Name      string
	Bounds    *setup.Live
	Log       adapter.Log
	Control   adapter.Control
	Topics    *topics.Topics
	Upstreams *upstreams.Upstreams
	Now       func() time.Time
	Logger    log.Logger
	// Nudge tells peers at once what changed.
	Nudge func()
	// PeersFetch returns the oldest weight version of a model whose context a
	// peer may still fetch; ok is false if that is not known of all.
	PeersFetch func(model string) (oldest int, ok bool)
	// Rank returns the place of this instance among the candidates for the duty.
	Rank func(now time.Time) (rank int, most bool)

	mu        sync.Mutex
	lease     lease.Lease
	candidacy lease.Candidacy
	member    bool
	// retiring is true once the instance is about to end.
	retiring bool
	// failing is true while renewals get no answer.
	failing bool
	// joined is when the last renewal that was answered was sent.
	joined time.Time
	// foreign has the replicas that another holder ordered, and when that was last
	// heard.
	foreign map[string]time.Time
	reloads map[string]*reload.Reload
	retired map[string]retired
}

// Out returns the replicas that this instance keeps new work from until they
// hold a weight version, and those of them that it has ordered.
func (d *Duty) Out() (out []message.ReplicaVersion, ordered []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lease.Held(d.Now()) {
		return nil, nil
	}
	for model, r := range d.reloads {
		for _, id := range r.Drained() {
			out = append(out, message.ReplicaVersion{Replica: id, Model: model, Version: r.Target()})
		}
		ordered = append(ordered, r.Loading()...)
	}
	slices.SortFunc(out, func(a, b message.ReplicaVersion) int { return strings.Compare(a.Replica, b.Replica) })
	slices.Sort(ordered)
	return out, ordered
}

// Run renews the membership and does the duty while it is this instance's.
func (d *Duty) Run(ctx context.Context) {
	d.mu.Lock()
	// Where replicas check fencing tokens, only those wait that the holder before
	// took out of use; it told its peers before it ordered them.
	if !d.Bounds.Bounds().Fenced {
		d.lease.Quiet = d.Bounds.Bounds().Lease
	}
	d.reloads = map[string]*reload.Reload{}
	d.retired = map[string]retired{}
	d.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { clock.Every(ctx, renewEvery, func() { d.renew(ctx) }) })
	wg.Go(func() { d.work(ctx) })
	wg.Wait()
}

// work does the duty while it is held, and looks seldom while it is not.
func (d *Duty) work(ctx context.Context) {
	var cleaned time.Time
	for ctx.Err() == nil {
		d.step(ctx)
		now := d.Now()
		if now.Sub(cleaned) >= cleanEvery {
			d.clean(ctx)
			cleaned = now
		}
		pause := idleEvery
		if d.Holds(now) {
			pause = stepEvery
		}
		clock.Pause(ctx, pause)
	}
}

// Retire gives the duty up for good, since the instance is about to end.
func (d *Duty) Retire(ctx context.Context) {
	d.mu.Lock()
	d.retiring = true
	d.mu.Unlock()
	d.leave(ctx)
}

// leave gives the membership up.
func (d *Duty) leave(ctx context.Context) {
	d.mu.Lock()
	member := d.member
	d.member = false
	d.lease.Drop()
	d.mu.Unlock()
	if !member {
		return
	}
	if err := d.Log.Leave(ctx, d.Name); err != nil {
		_ = d.Logger.Log("msg", "The membership could not be given up; it lapses.", "err", err)
	}
}

// Holds reports whether this instance holds the duty.
func (d *Duty) Holds(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Held(now)
}

// HolderElsewhere notes that a peer held the duty at a moment and has ordered
// replicas.
func (d *Duty) HolderElsewhere(at time.Time, ordered []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidacy.Heard(at)
	for id, seen := range d.foreign {
		if at.Sub(seen) > 2*d.Bounds.Bounds().Lease {
			delete(d.foreign, id)
		}
	}
	for _, id := range ordered {
		// A peer may be heard before Run.
		if d.foreign == nil {
			d.foreign = map[string]time.Time{}
		}
		d.foreign[id] = at
	}
}

// HolderSeen returns how long ago another instance was known to hold the duty.
func (d *Duty) HolderSeen(now time.Time) (age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.candidacy.Seen(now)
}

// HolderReleased notes that the holder told that it holds the duty no more.
func (d *Duty) HolderReleased(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidacy.Released(now)
}

// renew keeps the membership up, asks for one if nobody holds the duty, and
// gives it up if another instance does.
func (d *Duty) renew(ctx context.Context) {
	now := d.Now()
	rank, most := d.Rank(now)
	d.mu.Lock()
	if most {
		d.candidacy.Among()
	} else {
		d.candidacy.Alone(now)
	}
	held, elsewhere := d.lease.Held(now), d.candidacy.Elsewhere(now)
	if now.Sub(d.joined) > memberLife {
		// The membership has lapsed: joining again would move the duty from the
		// instance that has taken it over.
		d.member = false
	}
	member := d.member
	apply := d.candidacy.Apply(now, rank) && !d.retiring
	d.mu.Unlock()
	switch {
	case member && !held && elsewhere:
		d.leave(ctx)
	case member || apply:
		if !member {
			_ = d.Logger.Log("msg", "Asked for the duty.", "rank", rank, "hears-most", most, "held-before", held)
		}
		d.join(ctx)
	}
}

func (d *Duty) join(ctx context.Context) {
	d.mu.Lock()
	generation := d.lease.Generation()
	held := d.lease.Held(d.Now())
	d.mu.Unlock()
	ttl := max(memberLife, d.Bounds.Bounds().MembershipMin)
	sent := d.Now()
	g, err := d.Log.Join(ctx, d.Name, ttl, generation)
	d.mu.Lock()
	defer d.mu.Unlock()
	if (err != nil) != d.failing {
		d.failing = err != nil
		_ = d.Logger.Log("msg", "The renewal of the membership changed.", "fails", d.failing, "err", err)
	}
	if err != nil {
		return
	}
	d.member, d.joined = true, sent
	d.lease.Renew(sent, ttl, g)
	if now := d.lease.Held(d.Now()); now != held {
		_ = d.Logger.Log("msg", "The holder of the duty changed.", "held", now, "generation", g.Generation)
	}
}
