// Package reload rolls out a new weight version to the engines of a model. It drains
// some engines at a time and commands them to load the version, while the others serve
// the requests.
package reload

import (
	"sort"
	"time"
)

// Engine is the state of one engine.
type Engine struct {
	ID      string
	Version int
	// Running is the number of requests in flight at the engine. Slots is the number
	// that it runs at once; 0 if unknown.
	Running, Slots int
}

// hasQueue reports whether requests wait for a slot at the engine. After a command the
// engine would refuse them until the weights are loaded.
func (e Engine) hasQueue() bool { return e.Slots > 0 && e.Running > e.Slots }

// Action is a Drain, Load, Watch or Release.
type Action interface{ action() }

// Drain keeps new work from an engine.
type Drain struct{ ID string }

// Load commands an engine to load a version. With KeepRunning, running requests
// continue with the new weights; without it, the engine completes them first.
type Load struct {
	ID          string
	Version     int
	KeepRunning bool
}

// Watch polls an engine until it has loaded the version that another leader commanded
// it to load.
type Watch struct {
	ID      string
	Version int
}

// Release ends the draining of an engine.
type Release struct{ ID string }

func (Drain) action()   {}
func (Load) action()    {}
func (Watch) action()   {}
func (Release) action() {}

// Times and shares of a reload.
const (
	// propagationTime is the time until all instances know that an engine is drained.
	propagationTime = 120 * time.Millisecond
	// drainLimit is how long an engine is drained before its weights change under
	// running requests. Waiting for these costs callers more, by the capacity that is
	// missing meanwhile, than completing them with the new weights.
	drainLimit = 150 * time.Millisecond
	// queuedDrainLimit applies in place of drainLimit while requests wait for a slot.
	queuedDrainLimit = 600 * time.Millisecond
	// refusedRetryDelay is the time before a refused command is sent again.
	refusedRetryDelay = 150 * time.Millisecond
	// commandTimeout is the time after which a command without effect is sent again.
	commandTimeout = 2500 * time.Millisecond
	// maxDrainedShare is the share of the engines that may be drained at once. The
	// others have to serve the requests, and to prefill the context again.
	maxDrainedShare = 0.5
)

// progress is the progress of a drained engine.
type progress struct {
	drainedAt time.Time
	// nextCommand is the earliest time of another command to load the same version,
	// and of any command to an adopted engine.
	nextCommand time.Time
	// commanded is the version that the engine was commanded to load; 0 before the
	// first command. For an adopted engine it is the version that it is watched for.
	commanded int
	// adopted is true if another leader drained the engine and this one has not
	// commanded it yet.
	adopted bool
}

// Reload is the state of a rollout for one model. The zero value has no drained
// engines. It is not safe for concurrent use.
type Reload struct {
	// engines holds the drained engines by id.
	engines map[string]progress
	target  int
}

// Target returns the version being rolled out.
func (rl *Reload) Target() int { return rl.target }

// Step returns the actions to take now to bring all engines to the target version.
// Engines with weights older than minVersion, which requests may no longer use, are drained at
// once. Step sorts all by id.
func (rl *Reload) Step(now time.Time, target int, all []Engine, minVersion int) []Action {
	if rl.engines == nil {
		rl.engines = map[string]progress{}
	}
	rl.target = target
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	var out []Action
	out = append(out, rl.finish(target, all)...)
	out = append(out, rl.drain(now, target, all, minVersion)...)
	return append(out, rl.load(now, target, all)...)
}

// finish releases the drained engines that hold the version or are no longer listed.
func (rl *Reload) finish(target int, all []Engine) []Action {
	var out []Action
	seen := map[string]bool{}
	for _, e := range all {
		seen[e.ID] = true
		if _, ok := rl.engines[e.ID]; ok && e.Version >= target {
			delete(rl.engines, e.ID)
			out = append(out, Release{e.ID})
		}
	}
	for id := range rl.engines {
		if !seen[id] {
			delete(rl.engines, id)
			out = append(out, Release{id})
		}
	}
	return out
}

// drain drains further engines up to the limit, and all of them that have weights older than
// minVersion.
func (rl *Reload) drain(now time.Time, target int, all []Engine, minVersion int) []Action {
	var out []Action
	free := max(1, int(maxDrainedShare*float64(len(all)))) - len(rl.engines)
	// Drain the least loaded engines first, since they are idle soonest, after those that get no
	// requests.
	expired := func(e Engine) bool { return e.Version < minVersion }
	pending := make([]Engine, 0, len(all))
	for _, e := range all {
		if _, ok := rl.engines[e.ID]; !ok && e.Version < target {
			pending = append(pending, e)
		}
	}
	sort.SliceStable(pending, func(i, j int) bool {
		if x, y := expired(pending[i]), expired(pending[j]); x != y {
			return x
		}
		return pending[i].Running < pending[j].Running
	})
	for i, e := range pending {
		if i >= free && !expired(e) {
			break
		}
		rl.engines[e.ID] = progress{drainedAt: now}
		out = append(out, Drain{e.ID})
	}
	return out
}

// load commands the drained engines whose drain time is over to load the version.
func (rl *Reload) load(now time.Time, target int, all []Engine) []Action {
	var out []Action
	for _, e := range all {
		p, ok := rl.engines[e.ID]
		if !ok {
			continue
		}
		if p.adopted && p.commanded == 0 {
			p.commanded = target
			rl.engines[e.ID] = p
			out = append(out, Watch{e.ID, target})
		}
		waited := now.Sub(p.drainedAt)
		if now.Before(p.nextCommand) && (p.commanded == target || p.adopted) || waited < e.drainTime() {
			continue
		}
		rl.engines[e.ID] = progress{drainedAt: p.drainedAt, nextCommand: now.Add(commandTimeout), commanded: target}
		out = append(out, Load{e.ID, target, e.Running > 0})
	}
	return out
}

// drainTime returns how long the engine is drained before it is commanded to load.
func (e Engine) drainTime() time.Duration {
	switch {
	case e.hasQueue():
		return queuedDrainLimit
	case e.Running > 0:
		return drainLimit
	}
	return propagationTime
}

// Adopt adds an engine that another leader drained and may have commanded. The engine
// gets no command before notBefore.
func (rl *Reload) Adopt(now, notBefore time.Time, id string) {
	if rl.engines == nil {
		rl.engines = map[string]progress{}
	}
	rl.engines[id] = progress{drainedAt: now, nextCommand: notBefore, adopted: true}
}

// Drained returns the ids of the engines that must get no new work, sorted.
func (rl *Reload) Drained() []string {
	var out []string
	for id := range rl.engines {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// Loading returns the ids of the engines that were commanded to load and have not
// finished, sorted. An adopted engine is included once Step has returned its Watch.
func (rl *Reload) Loading() []string {
	var out []string
	for id, p := range rl.engines {
		if p.commanded != 0 {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Refused records that an engine refused a command. It is sent again after
// refusedRetryDelay, or after the pause that calls to the engine require if that is longer.
func (rl *Reload) Refused(now time.Time, id string, pause time.Duration) {
	if p, ok := rl.engines[id]; ok {
		p.nextCommand = now.Add(max(refusedRetryDelay, pause))
		rl.engines[id] = p
	}
}
