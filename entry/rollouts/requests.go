package rollouts

import (
	"slices"
	"time"

	"crocusfold.dev/core/canary"
	"crocusfold.dev/core/pool"
)

// Choice says on which software versions an attempt of a request may run. The zero value
// allows none.
type Choice struct {
	canary.Choice
	service string
	// any is true if rollouts are not handled.
	any bool
	// known is true if the rules of the service are known.
	known bool
	// resumes is true if the attempt goes on with a response of the version Versions.Only.
	resumes bool
}

// Allows returns the restriction of a request to the versions of a choice.
func (ro *Rollouts) Allows(now time.Time, ch Choice) pool.Versions {
	v := pool.Versions{Only: ch.Versions.Only, Except: ch.Versions.Except, First: ch.Replicas}
	if v.First > 0 {
		v.Rank = func(id string) uint64 {
			ro.mu.Lock()
			defer ro.mu.Unlock()
			return ro.service(ch.service).canary.Rank(now, id)
		}
	}
	return v
}

// Known reports whether the rules of the service are known. If not, the choice allows nothing.
func (ch Choice) Known() bool { return ch.any || ch.known }

// Choose decides on the first attempt of a request, which it counts.
func (ro *Rollouts) Choose(now time.Time, service, route string) Choice {
	return ro.choose(service, func(c *canary.Canary) canary.Choice { return c.Choose(now, route) })
}

// Again decides on a further attempt of a request.
func (ro *Rollouts) Again(now time.Time, service, route string) Choice {
	return ro.choose(service, func(c *canary.Canary) canary.Choice { return c.Again(now, route) })
}

// Old decides on an attempt that found no replica of the target, after Unsent.
func (ro *Rollouts) Old(now time.Time, service, route string) Choice {
	return ro.choose(service, func(c *canary.Canary) canary.Choice { return c.Old(now, route) })
}

// Resume decides on an attempt that goes on with a response that a version began.
func (ro *Rollouts) Resume(now time.Time, service, route, version string) Choice {
	ch := ro.choose(service, func(c *canary.Canary) canary.Choice { return c.Resume(now, route, version) })
	ch.resumes = true
	return ch
}

func (ro *Rollouts) choose(name string, decide func(c *canary.Canary) canary.Choice) Choice {
	if !ro.enabled() {
		return Choice{any: true, Choice: canary.Choice{Allowed: true}}
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	s, ok := ro.services[name]
	if !ok || !s.known {
		return Choice{service: name, Choice: canary.Choice{Why: "the rollout orders are not known yet"}}
	}
	return Choice{service: name, known: true, Choice: decide(&s.canary)}
}

// Unsent says that no replica got the request of a choice.
func (ro *Rollouts) Unsent(now time.Time, ch Choice) {
	if ch.any || !ch.Allowed || !ro.enabled() {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if s, ok := ro.services[ch.service]; ok {
		s.canary.Unsent(now, ch.Choice)
	}
}

// MaySend reports whether the request of a choice may still be sent to a replica with a
// software version. It is called right before that, since the rollout may have gone on while
// the request waited.
func (ro *Rollouts) MaySend(now time.Time, ch Choice, software string) bool {
	if ch.any || !ro.enabled() {
		return true
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	s, ok := ro.services[ch.service]
	if !ok || !ch.Allowed {
		return false
	}
	isTarget := s.target != "" && software == s.target
	mayTurnBad := s.phase == canary.Watching || s.phase == canary.Moving
	switch {
	case isTarget && mayTurnBad && ro.instances > 1 && now.Sub(ro.heardAt) > silentAfter:
		// The others may have found the target bad meanwhile, as after a stop of this process.
		return false
	case isTarget && s.phase == canary.Withdrawn, !isTarget && slices.Contains(s.withdrawn, software):
		return false
	case ch.resumes:
		return true
	case isTarget:
		return ch.Target
	}
	return s.phase != canary.Settling && s.phase != canary.Done
}

// Began counts a request that is about to be sent to a replica with a software version. Each
// call must be followed by one of Ended.
func (ro *Rollouts) Began(ch Choice, software string) { ro.addRunning(ch, software, 1) }

// Ended says that a request no longer runs at the replica.
func (ro *Rollouts) Ended(ch Choice, software string) { ro.addRunning(ch, software, -1) }

func (ro *Rollouts) addRunning(ch Choice, software string, n int) {
	// Bounds may change between the two calls, so they are not looked at.
	if ch.any {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	s := ro.service(ch.service)
	if s.running[software] += n; s.running[software] == 0 {
		delete(s.running, software)
	}
}

// Record records what became of an attempt.
func (ro *Rollouts) Record(now time.Time, ch Choice, o canary.Outcome) {
	if ch.any || !ro.enabled() {
		return
	}
	o.Rollout, o.Target = ch.Rollout, ch.Target
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if s, ok := ro.services[ch.service]; ok {
		s.canary.Record(now, o)
	}
}

// versions returns the software versions of all services. For services with an order, replicas
// in closed data centres don't count, since requests can't move to them. For the others they
// do: a version whose data centre is closed for a time is still the one that serves.
func (ro *Rollouts) versions(now time.Time, ordered map[string]bool, closed map[string]bool) map[string][]canary.VersionReplicas {
	wall := time.Now()
	out := map[string][]canary.VersionReplicas{}
	ro.Replicas.WithPool(func(p *pool.Pool) {
		p.ForEach(func(r pool.Replica) {
			if r.Draining || ordered[r.Service] && closed[r.DataCentre] {
				return
			}
			list := out[r.Service]
			oldest := now.Add(-wall.Sub(time.UnixMilli(r.Incarnation)))
			for i := range list {
				if list[i].Version == r.Software {
					list[i].Replicas++
					if oldest.Before(list[i].Oldest) {
						list[i].Oldest = oldest
					}
					return
				}
			}
			out[r.Service] = append(list, canary.VersionReplicas{Version: r.Software, Replicas: 1, Oldest: oldest})
		})
	})
	return out
}
