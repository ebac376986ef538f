// Package reload brings the engines of a model to a new weight version: it keeps
// new work from some of them and orders them to load, so that the others carry
// the load meanwhile.
package reload

import (
	"sort"
	"time"
)

// Engine is the state of one engine.
type Engine struct {
	ID      string
	Version int
	// Running is the number of requests in flight at it, Slots how many it works on
	// at once; 0 if that is not known.
	Running, Slots int
}

// hasQueue reports whether requests wait at the engine for a slot. It would refuse them
// from an order on until the weights are loaded.
func (e Engine) hasQueue() bool { return e.Slots > 0 && e.Running > e.Slots }

// Action is one of the types below.
type Action interface{ action() }

// Drain keeps new work from an engine.
type Drain struct{ ID string }

// Load orders an engine to load a version. With Keep, requests that still run
// go on under the new weights; else the engine lets them end first.
type Load struct {
	ID          string
	Version     int
	KeepRunning bool
}

// Watch asks whether an engine has loaded the version that another holder of
// the duty ordered.
type Watch struct {
	ID      string
	Version int
}

// Release lets an engine have work again.
type Release struct{ ID string }

func (Drain) action()   {}
func (Load) action()    {}
func (Watch) action()   {}
func (Release) action() {}

// Times and shares of a reload.
const (
	// propagationTime is the time in which all instances learn that an engine is drained.
	propagationTime = 120 * time.Millisecond
	// drainLimit is how long an engine is drained before its weights change under
	// the requests that still run: the capacity that is missing while they end
	// costs callers more than their remainder on the new weights.
	drainLimit = 150 * time.Millisecond
	// queuedDrainLimit is that time if requests wait there for a slot.
	queuedDrainLimit = 600 * time.Millisecond
	// refusedRetryDelay is the pause before an order that was refused is sent again.
	refusedRetryDelay = 150 * time.Millisecond
	// commandTimeout is how long an order may go without effect before it is sent again.
	commandTimeout = 2500 * time.Millisecond
	// maxDrainedShare is the share of the engines that may be out at once. The others
	// must carry the load, and read their context anew.
	maxDrainedShare = 0.5
)

type progress struct {
	drainedAt time.Time
	// nextCommand is when the engine may be ordered, again or for the first time.
	nextCommand time.Time
	// commanded is the one that was ordered, 0 before.
	commanded int
	adopted   bool
}

// Reload is the progress of one model. The zero value has started nothing. It
// is not safe for concurrent use.
type Reload struct {
	engines map[string]progress
	target  int
}

// Target returns the version that the engines are brought to.
func (rl *Reload) Target() int { return rl.target }

// Step returns what to do now so that all engines come to the version.
// Once old weights may not be used any more, all engines are out.
func (rl *Reload) Step(now time.Time, target int, all []Engine, expired bool) []Action {
	if rl.engines == nil {
		rl.engines = map[string]progress{}
	}
	rl.target = target
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	var out []Action
	out = append(out, rl.finish(target, all)...)
	out = append(out, rl.drain(now, target, all, expired)...)
	return append(out, rl.load(now, target, all)...)
}

// finish releases engines that hold the version or are gone.
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

func (rl *Reload) drain(now time.Time, target int, all []Engine, expired bool) []Action {
	var out []Action
	room := max(1, int(maxDrainedShare*float64(len(all)))) - len(rl.engines)
	if expired {
		room = len(all)
	}
	// The least loaded engines go first, since they are empty soonest.
	waiting := make([]Engine, 0, len(all))
	for _, e := range all {
		if _, ok := rl.engines[e.ID]; !ok && e.Version < target {
			waiting = append(waiting, e)
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].Running < waiting[j].Running })
	for _, e := range waiting[:max(0, min(room, len(waiting)))] {
		rl.engines[e.ID] = progress{drainedAt: now}
		out = append(out, Drain{e.ID})
	}
	return out
}

// load orders the drained engines that are empty or have had their time.
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

// drainTime is how long an engine is drained before it is ordered.
func (e Engine) drainTime() time.Duration {
	switch {
	case e.hasQueue():
		return queuedDrainLimit
	case e.Running > 0:
		return drainLimit
	}
	return propagationTime
}

// Adopt takes an engine over that another holder has drained and may have
// ordered. It is not ordered before notBefore.
func (rl *Reload) Adopt(now, notBefore time.Time, id string) {
	if rl.engines == nil {
		rl.engines = map[string]progress{}
	}
	rl.engines[id] = progress{drainedAt: now, nextCommand: notBefore, adopted: true}
}

// Drained returns the engines that must get no new work.
func (rl *Reload) Drained() []string {
	var out []string
	for id := range rl.engines {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// Loading returns the engines that were ordered and have not loaded yet.
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

// Refused notes that an engine did not take an order, so that it is sent again soon.
func (rl *Reload) Refused(now time.Time, id string) {
	if p, ok := rl.engines[id]; ok {
		p.nextCommand = now.Add(refusedRetryDelay)
		rl.engines[id] = p
	}
}
