package duty

import (
	"context"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/reload"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/clock"
)

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

func (d *Duty) stepModel(ctx context.Context, now time.Time, in *adapter.Intent, model string, version int) {
	engines, replicas := d.engines(now, in, model)
	expired := d.Upstreams.Expired(now, model, version)
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
	actions := r.Step(now, version, engines, expired)
	d.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case reload.Drain:
			_ = d.Logger.Log("msg", "A replica gets no new work before its weights change.", "replica", a.ID, "version", version)
			d.Upstreams.With(func(p *pool.Pool) { p.MarkReloading(a.ID, model, version, now.Add(loadLimit)) })
		case reload.Release:
			d.Upstreams.With(func(p *pool.Pool) { p.ClearReloading(a.ID) })
		case reload.Load:
			go d.load(ctx, replicas[a.ID], model, a)
		case reload.Watch:
			go d.watch(ctx, replicas[a.ID], model, a.Version)
		}
	}
	d.hold(now, r, model, version)
	if len(actions) > 0 {
		d.Nudge()
	}
}

// hold keeps new work from the replicas that are out.
func (d *Duty) hold(now time.Time, r *reload.Reload, model string, version int) {
	d.mu.Lock()
	out := r.Drained()
	d.mu.Unlock()
	d.Upstreams.With(func(p *pool.Pool) {
		for _, id := range out {
			p.MarkReloading(id, model, version, now.Add(time.Second))
		}
	})
}

func (d *Duty) engines(now time.Time, in *adapter.Intent, model string) ([]reload.Engine, map[string]pool.Replica) {
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
					out = append(out, reload.Engine{ID: r.ID, Version: held, Running: p.Load(now, r.ID).Running, Slots: r.Slots})
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
	result := adapter.LoadBusy
	if err == nil {
		result, err = d.order(ctx, r, model, a, report.Seq)
	}
	if err != nil {
		_ = d.Logger.Log("msg", "An order did not get through.", "replica", r.ID, "version", a.Version, "err", err)
		return
	}
	if result != adapter.LoadAccepted && result != adapter.LoadNotNeeded {
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
		clock.Pause(ctx, reportEvery)
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

// order sends one order if the duty is still held at the last moment.
func (d *Duty) order(ctx context.Context, r pool.Replica, model string, a reload.Load, seq int) (adapter.LoadResult, error) {
	d.mu.Lock()
	fence, ok := d.lease.Token(d.Now())
	d.mu.Unlock()
	if !ok {
		return adapter.LoadFenced, nil
	}
	result, err := d.Control.LoadWeights(ctx, r.Address, adapter.LoadCommand{
		Replica: r.ID, Model: model, Version: a.Version, KeepRunning: a.KeepRunning, Leader: d.Name, FencingToken: fence, Seq: seq,
	})
	_ = d.Logger.Log("msg", "Ordered a replica to load weights.", "replica", r.ID, "model", model, "version", a.Version,
		"keep", a.KeepRunning, "fence", fence, "result", result, "err", err)
	if result == adapter.LoadFenced && err == nil {
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
