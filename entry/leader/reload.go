package leader

import (
	"context"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/reload"
	"crocusfold.dev/entry/adapter"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/clock"
)

// stepReloads advances the reload of each model to the weight version of the intent.
func (l *Leader) stepReloads(ctx context.Context) {
	in := l.Topics.Intent()
	if in == nil {
		return
	}
	now := l.Now()
	for model, version := range in.Versions {
		l.stepModel(ctx, now, in, model, version)
	}
}

// stepModel runs the actions that are due in the reload of a model. If this instance
// may not act as the leader, it drops the state of the reload.
func (l *Leader) stepModel(ctx context.Context, now time.Time, in *adapter.Intent, model string, version int) {
	engines, byID := l.engines(now, in, model)
	minVersion := l.Replicas.MinVersion(now, model)
	l.mu.Lock()
	if _, ok := l.lease.Token(now); !ok {
		delete(l.reloads, model)
		l.mu.Unlock()
		return
	}
	r, ok := l.reloads[model]
	if !ok {
		r = &reload.Reload{}
		for id, at := range l.peerCommands {
			if now.Sub(at) < l.Bounds.Bounds().Lease && behind(engines, id, version) {
				r.Adopt(now, at.Add(l.Bounds.Bounds().Lease), id)
			}
		}
		l.reloads[model] = r
	}
	actions := r.Step(now, version, engines, minVersion)
	l.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case reload.Drain:
			_ = l.Logger.Log("msg", "A replica gets no new work before its weights change.", "replica", a.ID, "version", version)
			l.Replicas.WithPool(func(p *pool.Pool) { p.MarkReloading(a.ID, model, version, now.Add(loadTimeout)) })
		case reload.Release:
			l.Replicas.WithPool(func(p *pool.Pool) { p.ClearReloading(a.ID) })
		case reload.Load:
			go l.load(ctx, byID[a.ID], model, a)
		case reload.Watch:
			go l.watch(ctx, byID[a.ID], model, a.Version)
		}
	}
	l.keepDrained(now, r, model, version)
	if len(actions) > 0 {
		l.NotifyPeers()
	}
}

// keepDrained extends the draining of a model's drained replicas.
func (l *Leader) keepDrained(now time.Time, r *reload.Reload, model string, version int) {
	l.mu.Lock()
	drained := r.Drained()
	l.mu.Unlock()
	l.Replicas.WithPool(func(p *pool.Pool) {
		for _, id := range drained {
			p.MarkReloading(id, model, version, now.Add(time.Second))
		}
	})
}

// engines returns the replicas that hold a model and are not draining, as engines and
// by id.
func (l *Leader) engines(now time.Time, in *adapter.Intent, model string) ([]reload.Engine, map[string]pool.Replica) {
	var out []reload.Engine
	byID := map[string]pool.Replica{}
	l.Replicas.WithPool(func(p *pool.Pool) {
		for _, s := range in.Table.Services {
			if s.Engine == nil {
				continue
			}
			for _, r := range p.All(s.Name) {
				if current, ok := r.Versions[model]; ok && !r.Draining {
					byID[r.ID] = r
					out = append(out, reload.Engine{ID: r.ID, Version: current, Running: p.Load(now, r.ID).Running, Slots: r.Slots})
				}
			}
		}
	})
	return out, byID
}

// behind reports whether an engine is listed and its version is older than the given
// one.
func behind(all []reload.Engine, id string, version int) bool {
	for _, e := range all {
		if e.ID == id {
			return e.Version < version
		}
	}
	return false
}

// load commands a replica to load a version and polls it until it has. It sends no
// command if the replica already reports the version or can't be reached.
func (l *Leader) load(ctx context.Context, r pool.Replica, model string, a reload.Load) {
	report, err := l.report(ctx, r)
	if err == nil && report.Versions[model] >= a.Version {
		l.recordLoaded(r.ID, model, report.Versions[model])
		return
	}
	result := adapter.LoadBusy
	if err == nil {
		result, err = l.sendCommand(ctx, r, model, a, report.Seq)
	}
	if err != nil {
		_ = l.Logger.Log("msg", "Commanding a replica to load weights failed.", "replica", r.ID, "version", a.Version, "err", err)
		return
	}
	if result != adapter.LoadAccepted && result != adapter.LoadNotNeeded {
		l.mu.Lock()
		if rl, ok := l.reloads[model]; ok {
			rl.Refused(l.Now(), r.ID, l.reportPause(r))
		}
		l.mu.Unlock()
		return
	}
	l.watch(ctx, r, model, a.Version)
}

// watch polls a replica until it has loaded a version or loadTimeout is over.
func (l *Leader) watch(ctx context.Context, r pool.Replica, model string, version int) {
	startedAt := l.Now()
	for ctx.Err() == nil && l.Now().Sub(startedAt) < loadTimeout {
		clock.Pause(ctx, l.reportPause(r))
		report, err := l.report(ctx, r)
		if err != nil {
			continue
		}
		if report.Versions[model] >= version {
			l.recordLoaded(r.ID, model, report.Versions[model])
			return
		}
	}
}

// report requests the state of a replica.
func (l *Leader) report(ctx context.Context, r pool.Replica) (adapter.Report, error) {
	l.charge(ctx, r)
	report, err := l.Control.Report(ctx, r.Address)
	if l.Replicas.ObserveReport(l.Now(), r, report) {
		l.NotifyPeers()
	}
	return report, err
}

// charge counts a call to a replica against the limit that the replica states.
func (l *Leader) charge(ctx context.Context, r pool.Replica) {
	if l.Limits != nil {
		l.Limits.Charge(ctx, r)
	}
}

// reportPause returns the pause between two requests for the state of a replica.
func (l *Leader) reportPause(r pool.Replica) time.Duration {
	if l.Limits == nil {
		return reportInterval
	}
	return max(reportInterval, min(l.Limits.Interval(r), maxReportInterval))
}

// sendCommand commands a replica to load a version. It checks leadership immediately
// before sending, and returns LoadFenced without sending if it is lost.
func (l *Leader) sendCommand(ctx context.Context, r pool.Replica, model string, a reload.Load, seq int) (adapter.LoadResult, error) {
	l.charge(ctx, r)
	l.mu.Lock()
	fence, ok := l.lease.Token(l.Now())
	l.mu.Unlock()
	if !ok {
		return adapter.LoadFenced, nil
	}
	result, err := l.Control.LoadWeights(ctx, r.Address, adapter.LoadCommand{
		Replica: r.ID, Model: model, Version: a.Version, KeepRunning: a.KeepRunning, Leader: l.Name, FencingToken: fence, Seq: seq,
	})
	_ = l.Logger.Log("msg", "Commanded a replica to load weights.", "replica", r.ID, "model", model, "version", a.Version,
		"keep", a.KeepRunning, "fence", fence, "result", result, "err", err)
	if result == adapter.LoadFenced && err == nil {
		// The replica has received a command of a newer leader, so this instance is no
		// longer the leader.
		l.mu.Lock()
		l.lease.Release()
		l.mu.Unlock()
	}
	return result, err
}

// recordLoaded records that a replica has loaded a version, and notifies the peers.
func (l *Leader) recordLoaded(id, model string, version int) {
	l.Replicas.RecordLoaded(l.Now(), message.ReplicaVersion{Replica: id, Model: model, Version: version})
	l.NotifyPeers()
}
