// Package reload brings the engines of a model to a new weight version: it keeps
// new work from some of them, lets what they run end, and orders them to load,
// a few at a time.
package reload

import (
	"sort"
	"time"
)

// Engine is the state of one engine.
type Engine struct {
	ID      string
	Version int
	// Running is the number of requests in flight at it.
	Running int
}

// Action is one of the types below.
type Action interface{ action() }

// Drain keeps new work from an engine.
type Drain struct{ ID string }

// Load orders an engine to load a version.
type Load struct {
	ID      string
	Version int
}

// Release lets an engine have work again.
type Release struct{ ID string }

func (Drain) action()   {}
func (Load) action()    {}
func (Release) action() {}

// Times and shares of a reload.
const (
	// settle is the time in which all instances learn that an engine is drained.
	settle = 120 * time.Millisecond
	// orderRetry is how long an order may go without effect before it is sent again.
	orderRetry = 2500 * time.Millisecond
	// outShare is the share of the engines that may be out at once. Loads slow
	// each other in proportion, so more at once do not take longer in all.
	outShare = 0.5
)

type progress struct {
	drainedAt time.Time
	orderedAt time.Time
	version   int
}

// Reload is the progress of one model. The zero value has started nothing. It
// is not safe for concurrent use.
type Reload struct {
	engines map[string]progress
}

// Step returns what to do now so that all engines come to the version.
// Once old weights may not be used any more, all engines are out.
func (rl *Reload) Step(now time.Time, target int, all []Engine, expired bool) []Action {
	if rl.engines == nil {
		rl.engines = map[string]progress{}
	}
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
	room := max(1, int(outShare*float64(len(all)))) - len(rl.engines)
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

// load orders the drained engines. They let what they run end first.
func (rl *Reload) load(now time.Time, target int, all []Engine) []Action {
	var out []Action
	for _, e := range all {
		p, ok := rl.engines[e.ID]
		ordered := p.version == target && now.Sub(p.orderedAt) < orderRetry
		if !ok || ordered || now.Sub(p.drainedAt) < settle {
			continue
		}
		p.version, p.orderedAt = target, now
		rl.engines[e.ID] = p
		out = append(out, Load{e.ID, target})
	}
	return out
}

// Out returns the engines that must get no new work.
func (rl *Reload) Out() []string {
	var out []string
	for id := range rl.engines {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// Failed notes that an order was refused, so that it is sent again soon.
func (rl *Reload) Failed(id string) {
	if p, ok := rl.engines[id]; ok {
		p.version = 0
		rl.engines[id] = p
	}
}
