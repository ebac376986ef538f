// Package duty does the work that one instance does for all: it orders replicas
// to load new weights and frees what stores hold in vain. The membership of a
// group of the platform's log says who holds the duty.
package duty

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/directory"
	"crocusfold.dev/core/lease"
	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/reload"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/entry/outside"
	"crocusfold.dev/entry/setup"
	"crocusfold.dev/entry/topics"
	"crocusfold.dev/entry/upstreams"
)

// Times of a duty.
const (
	// memberLife is how long a member that sends nothing keeps its duties.
	memberLife = 1200 * time.Millisecond
	// renewEvery is the pause between two renewals.
	renewEvery = 250 * time.Millisecond
	// stepEvery is the pause between two looks at what there is to do.
	stepEvery = 50 * time.Millisecond
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
	Log       outside.Log
	Control   outside.Control
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
	// joined is when the last renewal that was answered was sent.
	joined time.Time
	// foreign has the replicas that another holder ordered, and when that was last
	// heard.
	foreign map[string]time.Time
	reloads map[string]*reload.Reload
	retired map[string]retired
}

// retired is the oldest weight version of a model whose context is of use, and
// the one that follows it once it has been so for some time.
type retired struct {
	oldest, next int
	since        time.Time
}

// Out returns the replicas that this instance keeps new work from, and those of
// them that it has ordered.
func (d *Duty) Out() (out, ordered []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lease.Held(d.Now()) {
		return nil, nil
	}
	for _, r := range d.reloads {
		out = append(out, r.Out()...)
		ordered = append(ordered, r.Ordered()...)
	}
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
	d.foreign = map[string]time.Time{}
	d.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, renewEvery, func() { d.renew(ctx) }) })
	wg.Go(func() { every(ctx, stepEvery, func() { d.step(ctx) }) })
	wg.Go(func() { every(ctx, cleanEvery, func() { d.clean(ctx) }) })
	wg.Wait()
}

func every(ctx context.Context, pause time.Duration, do func()) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave gives the duty up.
func (d *Duty) Leave(ctx context.Context) {
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
	apply := d.candidacy.Apply(now, rank)
	d.mu.Unlock()
	switch {
	case member && !held && elsewhere:
		d.Leave(ctx)
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
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.member, d.joined = true, sent
	d.lease.Renew(sent, ttl, g)
	if now := d.lease.Held(d.Now()); now != held {
		_ = d.Logger.Log("msg", "The holder of the duty changed.", "held", now, "generation", g.Generation)
	}
}

// step brings replicas to the weights that the operators named.
func (d *Duty) step(ctx context.Context) {
	in := d.Topics.Intent()
	if in == nil {
		return
	}
	now := d.Now()
	for model, version := range in.Versions {
		d.stepModel(ctx, now, in, model, version)
	}
}

func (d *Duty) stepModel(ctx context.Context, now time.Time, in *outside.Intent, model string, version int) {
	engines, replicas := d.engines(now, in, model)
	d.mu.Lock()
	if _, ok := d.lease.Token(now); !ok {
		delete(d.reloads, model)
		d.mu.Unlock()
		return
	}
	r, ok := d.reloads[model]
	if !ok {
		r = &reload.Reload{}
		for id, at := range d.foreign {
			if now.Sub(at) < d.Bounds.Bounds().Lease && behind(engines, id, version) {
				r.Adopt(now, at.Add(d.Bounds.Bounds().Lease), id)
			}
		}
		d.reloads[model] = r
	}
	expired := d.Upstreams.Expired(now, model, version)
	actions := r.Step(now, version, engines, expired)
	d.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case reload.Drain:
			_ = d.Logger.Log("msg", "A replica gets no new work before its weights change.", "replica", a.ID, "version", version)
			d.Upstreams.With(func(p *pool.Pool) { p.Reloading(a.ID, now.Add(loadLimit)) })
		case reload.Release:
			d.Upstreams.With(func(p *pool.Pool) { p.Reloading(a.ID, time.Time{}) })
		case reload.Load:
			go d.load(ctx, replicas[a.ID], model, a)
		case reload.Watch:
			go d.watch(ctx, replicas[a.ID], model, a.Version)
		}
	}
	d.hold(now, r, model)
	if len(actions) > 0 {
		d.Nudge()
	}
}

// hold keeps new work from the replicas that are out.
func (d *Duty) hold(now time.Time, r *reload.Reload, model string) {
	d.mu.Lock()
	out := r.Out()
	d.mu.Unlock()
	d.Upstreams.With(func(p *pool.Pool) {
		for _, id := range out {
			p.Reloading(id, now.Add(time.Second))
		}
	})
}

func (d *Duty) engines(now time.Time, in *outside.Intent, model string) ([]reload.Engine, map[string]pool.Replica) {
	var out []reload.Engine
	replicas := map[string]pool.Replica{}
	d.Upstreams.With(func(p *pool.Pool) {
		for _, s := range in.Table.Services {
			if s.Engine == nil {
				continue
			}
			for _, r := range p.All(s.Name) {
				if held, ok := r.Versions[model]; ok && !r.Draining {
					replicas[r.ID] = r
					out = append(out, reload.Engine{ID: r.ID, Version: held, Running: p.Running(now, r.ID)})
				}
			}
		}
	})
	return out, replicas
}

// behind reports whether an engine lacks a version.
func behind(all []reload.Engine, id string, version int) bool {
	for _, e := range all {
		if e.ID == id {
			return e.Version < version
		}
	}
	return false
}

// load orders a replica to load a version and watches until it has.
func (d *Duty) load(ctx context.Context, r pool.Replica, model string, a reload.Load) {
	report, err := d.Control.Report(ctx, r.Address)
	if err == nil && report.Versions[model] >= a.Version {
		d.loaded(r.ID, model, report.Versions[model])
		return
	}
	result := outside.OrderBusy
	if err == nil {
		result, err = d.order(ctx, r, model, a, report.Seq)
	}
	if err != nil {
		_ = d.Logger.Log("msg", "An order did not get through.", "replica", r.ID, "version", a.Version, "err", err)
		return
	}
	if result != outside.OrderAccepted && result != outside.OrderHolds {
		d.mu.Lock()
		if rl, ok := d.reloads[model]; ok {
			rl.Refused(d.Now(), r.ID)
		}
		d.mu.Unlock()
		return
	}
	d.watch(ctx, r, model, a.Version)
}

// watch asks a replica until it has loaded a version.
func (d *Duty) watch(ctx context.Context, r pool.Replica, model string, version int) {
	began := d.Now()
	for ctx.Err() == nil && d.Now().Sub(began) < loadLimit {
		pauseFor(ctx, reportEvery)
		report, err := d.Control.Report(ctx, r.Address)
		if err != nil {
			continue
		}
		if report.Versions[model] >= version {
			d.loaded(r.ID, model, report.Versions[model])
			return
		}
	}
}

func pauseFor(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// order sends one order if the duty is still held at the last moment.
func (d *Duty) order(ctx context.Context, r pool.Replica, model string, a reload.Load, seq int) (outside.OrderResult, error) {
	d.mu.Lock()
	fence, ok := d.lease.Token(d.Now())
	d.mu.Unlock()
	if !ok {
		return outside.OrderFenced, nil
	}
	result, err := d.Control.Order(ctx, r.Address, outside.Order{
		Replica: r.ID, Model: model, Version: a.Version, Keep: a.Keep, Holder: d.Name, Fence: fence, Seq: seq,
	})
	_ = d.Logger.Log("msg", "Ordered a replica to load weights.", "replica", r.ID, "model", model, "version", a.Version,
		"keep", a.Keep, "fence", fence, "result", result, "err", err)
	if result == outside.OrderFenced && err == nil {
		// A newer holder has ordered this replica, so the duty is not ours.
		d.mu.Lock()
		d.lease.Drop()
		d.mu.Unlock()
	}
	return result, err
}

func (d *Duty) loaded(id, model string, version int) {
	d.Upstreams.Loaded(d.Now(), message.ReplicaVersion{Replica: id, Model: model, Version: version})
	d.Nudge()
}

// clean frees what stores hold of weights that no replica has any more, and
// parts whose writing broke off.
func (d *Duty) clean(ctx context.Context) {
	in := d.Topics.Intent()
	now := d.Now()
	d.mu.Lock()
	_, held := d.lease.Token(now)
	d.mu.Unlock()
	if in == nil || !held {
		return
	}
	wanted := map[string]int{}
	for model := range in.Versions {
		engines, _ := d.engines(now, in, model)
		wanted[model] = d.oldest(now, model, engines)
	}
	for name, address := range d.Upstreams.Stores() {
		var parts []directory.Part
		var epoch uint64
		d.Upstreams.Directory(func(dir *directory.Directory) {
			epoch, _ = dir.Position(name)
			parts = dir.Stale(name, func(salt string) bool {
				model, version, ok := directory.ParseSalt(salt)
				return ok && version >= wanted[model]
			})
			parts = append(parts, dir.Broken(name)...)
			dir.Free(name, parts)
		})
		if len(parts) == 0 {
			continue
		}
		err := d.Control.Free(ctx, address, epoch, parts)
		_ = d.Logger.Log("msg", "Freed context of old weights and broken parts.", "store", name, "parts", len(parts), "err", err)
	}
}

// oldest returns the oldest version whose context is still of use. An older one
// is of none once no instance fetches it any more, or no replica can run it, and
// the last fetch has ended.
func (d *Duty) oldest(now time.Time, model string, engines []reload.Engine) int {
	held := math.MaxInt
	for _, e := range engines {
		held = min(held, e.Version)
	}
	if len(engines) == 0 {
		held = 0
	}
	limit, wait := held, freeAfter
	if told, ok := d.PeersFetch(model); ok {
		if oldest := min(told, d.Upstreams.Fetched(now)[model]); oldest > held {
			limit, wait = oldest, freeAfterStop
		}
	}
	r := d.retired[model]
	if limit != r.next {
		r.next, r.since = limit, now
	}
	if now.Sub(r.since) >= wait {
		r.oldest = limit
	}
	d.retired[model] = r
	return r.oldest
}
