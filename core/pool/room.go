package pool

import "time"

// Held returns the work in flight of all instances at the replicas of a service.
func (p *Pool) Held(now time.Time, service string) Load {
	var sum Load
	for _, r := range p.replicas {
		if r.Service == service {
			sum.add(r.load(now))
		}
	}
	return sum
}

// Room returns how much more the replicas of a service can take of requests such as the given
// one: tokens if replicas have a memory in tokens, and otherwise requests.
func (p *Pool) Room(now time.Time, req Request) float64 {
	sum := 0.0
	for _, r := range p.replicas {
		if r.Service != req.Service || r.Draining || req.ClosedDataCentres[r.DataCentre] || r.reloading(now) || r.avoided(now, req.Repeatable) {
			continue
		}
		load := r.load(now)
		slots := fullSlots*float64(max(r.Slots, 1)) - float64(load.Running)
		switch {
		case slots <= 0:
		case req.Memory <= 0:
			sum += slots
		case load.Tokens+req.Tokens <= req.Memory:
			sum += float64(req.Memory - load.Tokens)
		}
	}
	return sum
}

// Capacity returns what the replicas of a service hold at most: tokens if they have a memory in
// tokens, and otherwise requests.
func (p *Pool) Capacity(service string, memory int) float64 {
	sum := 0.0
	for _, r := range p.replicas {
		switch {
		case r.Service != service || r.Draining:
		case memory > 0:
			sum += float64(memory)
		default:
			sum += fullSlots * float64(max(r.Slots, 1))
		}
	}
	return sum
}
