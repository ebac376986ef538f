// Package stall detects replicas that stopped responding in the middle of their streams or
// before their first event, by the progress of the requests that this instance sent them.
package stall

import (
	"slices"
	"time"
)

// Thresholds of the evidence. They come from pauses between events of up to 500 ms that callers
// allow, and from a second within which a stall is to be noticed.
const (
	// minStreams is the number of streams that must have stopped together. One stream that
	// stopped may be slow by itself.
	minStreams = 3
	// minRequests is the number of requests without progress that count as silence of a replica.
	minRequests = 2
	// stopFactor is how many times longer than usual a stream has to pause.
	stopFactor = 8
	// silentFactor is how many times longer than usual a request has to wait at a silent
	// replica, so that long batches are not taken for a stall.
	silentFactor = 4
	// minStopped and minSilent are the shortest such times.
	minStopped = 500 * time.Millisecond
	minSilent  = time.Second
	// othersWithin is how recent the progress of other replicas must be.
	othersWithin = 500 * time.Millisecond
	// maxTickGap is the longest time between two ticks that is not a pause of this process.
	// Ticks are due every 100 ms.
	maxTickGap = 300 * time.Millisecond
	// peerFactor is how many times longer than usual a request has to wait for a peer's
	// suspicion to be shared.
	peerFactor = 2
	// ownProgress is how recent progress must be to outweigh a peer's suspicion.
	ownProgress = 500 * time.Millisecond
	// maxWriteTime is how long writing to the caller may take. Beyond it, what is read next may
	// have arrived earlier.
	maxWriteTime = 5 * time.Millisecond
	// heardTTL is how long a suspicion counts and is passed on after its last evidence.
	heardTTL = 3 * time.Second
)

// Bounds of what is learned and kept.
const (
	// minObservations is the number of times that must have been learned before a time counts
	// as unusual.
	minObservations = 5
	// weight is the weight of a new time in the moving average.
	weight = 0.05
	// maxOutlier bounds a new time by a multiple of the average, so that a stall is not learned
	// as usual.
	maxOutlier = 4
	// idleTTL is how long a replica without requests is kept, and maxHeard the number of
	// suspicions of peers that are kept.
	idleTTL  = 30 * time.Second
	maxHeard = 256
)

// Replica identifies one start of a replica.
type Replica struct {
	ID          string
	Incarnation int64
}

// Evidence is why a replica is suspected.
type Evidence string

// The kinds of evidence.
const (
	// StreamsStopped means that several streams of the replica all stopped.
	StreamsStopped Evidence = "streams-stopped"
	// Silent means that none of its requests made progress while other replicas did.
	Silent Evidence = "silent"
	// ProbeSilent means that a request sent to a suspected replica made no progress.
	ProbeSilent Evidence = "probe-silent"
	// Peer means that a peer suspects the replica and nothing here contradicts it.
	Peer Evidence = "peer"
)

// Finding is evidence against a replica.
type Finding struct {
	Replica
	Service  string
	Evidence Evidence
	// Waited is how long the replica made no progress here.
	Waited time.Duration
	// Requests are those in flight that should end. It is empty if only a peer's suspicion
	// speaks against a replica that has no requests of this instance.
	Requests []*Request
}

// Request is a request in flight at a replica.
type Request struct {
	replica *replica
	// since is when it began or last made progress. began is true once it made progress.
	since time.Time
	began bool
	// pausedAt is since when its caller is written to; zero if it is not. unlearned is true if
	// that took so long that the next time says nothing about the replica.
	pausedAt  time.Time
	unlearned bool
}

// Suspicion is a suspicion that instances tell each other.
type Suspicion struct {
	Replica
	// Age is the time since the last evidence.
	Age time.Duration
}

type replica struct {
	Replica
	service  string
	requests map[*Request]bool
	// progress is when any of its requests last made progress, and used when it last had one.
	progress, used time.Time
	// evidenceAt is the time of the last evidence of this instance; zero if not suspected.
	evidenceAt time.Time
}

// usual is a moving average of a time.
type usual struct {
	mean time.Duration
	n    int
}

func (u *usual) observe(d time.Duration) {
	if u.n < minObservations {
		u.n++
		u.mean += (d - u.mean) / time.Duration(u.n)
		return
	}
	u.mean += time.Duration(weight * float64(min(d, maxOutlier*max(u.mean, time.Millisecond))-u.mean))
}

// limit returns the multiple of the usual time, at least a minimum, and whether it is known.
func (u *usual) limit(factor int, least time.Duration) (time.Duration, bool) {
	return max(time.Duration(factor)*u.mean, least), u.n >= minObservations
}

// times are the usual times of a service.
type times struct{ first, gap usual }

// Stalls has the replicas with requests in flight. The zero value is empty. It is not safe for
// concurrent use.
type Stalls struct {
	replicas map[Replica]*replica
	services map[string]*times
	// heard has when a peer last had evidence against a replica.
	heard    map[Replica]time.Time
	lastTick time.Time
}

func (s *Stalls) init() {
	if s.replicas == nil {
		s.replicas, s.services, s.heard = map[Replica]*replica{}, map[string]*times{}, map[Replica]time.Time{}
	}
}

// Begin records that a request is sent to a replica.
func (s *Stalls) Begin(now time.Time, service string, id Replica) *Request {
	s.init()
	r := s.replicas[id]
	if r == nil {
		r = &replica{Replica: id, service: service, requests: map[*Request]bool{}}
		s.replicas[id] = r
	}
	if s.services[service] == nil {
		s.services[service] = &times{}
	}
	req := &Request{replica: r, since: now}
	r.requests[req], r.used = true, now
	return req
}

// Progress records an event of a stream or a part of another response, and reports whether that
// ends a suspicion.
func (s *Stalls) Progress(now time.Time, req *Request) (recovered bool) {
	if t := s.services[req.replica.service]; t != nil && !req.unlearned {
		u := &t.first
		if req.began {
			u = &t.gap
		}
		u.observe(now.Sub(req.since))
	}
	req.since, req.began, req.unlearned = now, true, false
	return s.Heard(now, req)
}

// Heard records that the replica sent something that is no progress of the request itself, such
// as the head of a stream, and reports whether that ends a suspicion.
func (s *Stalls) Heard(now time.Time, req *Request) (recovered bool) {
	r := req.replica
	_, heard := s.heard[r.Replica]
	recovered = heard || !r.evidenceAt.IsZero()
	r.progress, r.evidenceAt = now, time.Time{}
	delete(s.heard, r.Replica)
	return recovered
}

// Pause records that the caller is written to, so that nothing is read from the replica.
func (s *Stalls) Pause(now time.Time, req *Request) { req.pausedAt = now }

// Resume records that the replica is read from again.
func (s *Stalls) Resume(now time.Time, req *Request) {
	req.unlearned = now.Sub(req.pausedAt) > maxWriteTime
	req.since, req.pausedAt = now, time.Time{}
}

// End records that a request is no longer in flight.
func (s *Stalls) End(now time.Time, req *Request) {
	delete(req.replica.requests, req)
	req.replica.used = now
}

// Tick returns the evidence that there is now. It is to be called every 100 ms.
func (s *Stalls) Tick(now time.Time) []Finding {
	gap := now.Sub(s.lastTick)
	first := s.lastTick.IsZero()
	s.lastTick = now
	if first || gap > maxTickGap || gap < 0 {
		// What arrived meanwhile may still have to be read.
		s.restart(now)
		return nil
	}
	var out []Finding
	for _, r := range s.replicas {
		if f, ok := s.check(now, r); ok {
			out = append(out, f)
		}
	}
	out = s.confirmed(now, out)
	out = append(out, s.idleFindings(now)...)
	for _, f := range out {
		if r := s.replicas[f.Replica]; r != nil && f.Evidence != Peer {
			r.evidenceAt = now
		}
	}
	s.sweep(now)
	return out
}

// restart has all requests wait from now on.
func (s *Stalls) restart(now time.Time) {
	for _, r := range s.replicas {
		for req := range r.requests {
			req.since = now
		}
	}
}

// check returns the evidence against a replica, whatever other replicas did.
func (s *Stalls) check(now time.Time, r *replica) (Finding, bool) {
	t := s.services[r.service]
	f := Finding{Replica: r.Replica, Service: r.service, Waited: -1}
	streams, stopped, silent, probe, peer := 0, true, true, true, false
	for req := range r.requests {
		if !req.pausedAt.IsZero() {
			continue
		}
		waited := now.Sub(req.since)
		f.Requests = append(f.Requests, req)
		if f.Waited < 0 || waited < f.Waited {
			f.Waited = waited
		}
		u := &t.first
		if req.began {
			u = &t.gap
			limit, known := u.limit(stopFactor, minStopped)
			streams++
			stopped = stopped && known && waited >= limit
		}
		limit, known := u.limit(silentFactor, minSilent)
		silent = silent && known && waited >= limit
		probe = probe && waited >= limit
		limit, known = u.limit(peerFactor, ownProgress)
		peer = peer || known && waited >= limit
	}
	n := len(f.Requests)
	if n == 0 {
		return Finding{}, false
	}
	quiet := now.Sub(r.progress)
	at, heard := s.heard[r.Replica]
	switch {
	case !r.evidenceAt.IsZero() && probe:
		f.Evidence = ProbeSilent
	case streams >= minStreams && stopped && quiet >= minStopped:
		f.Evidence = StreamsStopped
	case n >= minRequests && silent && quiet >= minSilent:
		f.Evidence = Silent
	case heard && peer && quiet >= ownProgress && now.Sub(at) < heardTTL:
		f.Evidence = Peer
	default:
		return Finding{}, false
	}
	return f, true
}

// confirmed returns the findings against replicas of services of which at least as many other
// replicas made progress. If most stopped, the cause is common to them or on this side.
func (s *Stalls) confirmed(now time.Time, findings []Finding) []Finding {
	suspects, moving := map[string]int{}, map[string]int{}
	for _, f := range findings {
		suspects[f.Service]++
	}
	for _, r := range s.replicas {
		if now.Sub(r.progress) < othersWithin {
			moving[r.service]++
		}
	}
	return slices.DeleteFunc(findings, func(f Finding) bool {
		return moving[f.Service] < suspects[f.Service]
	})
}

// idleFindings returns the suspicions of peers about replicas without requests of this instance.
func (s *Stalls) idleFindings(now time.Time) []Finding {
	var out []Finding
	for id, at := range s.heard {
		r := s.replicas[id]
		if now.Sub(at) < heardTTL && (r == nil || len(r.requests) == 0 && now.Sub(r.progress) >= ownProgress) {
			out = append(out, Finding{Replica: id, Evidence: Peer})
		}
	}
	return out
}

// sweep drops what is no longer needed.
func (s *Stalls) sweep(now time.Time) {
	used := map[string]bool{}
	for id, r := range s.replicas {
		if len(r.requests) == 0 && now.Sub(r.used) >= idleTTL {
			delete(s.replicas, id)
			continue
		}
		used[r.service] = true
	}
	for service := range s.services {
		if !used[service] {
			delete(s.services, service)
		}
	}
	for id, at := range s.heard {
		if now.Sub(at) >= heardTTL {
			delete(s.heard, id)
		}
	}
}

// Suspicions returns the suspicions to tell a peer: those of this instance and those heard.
func (s *Stalls) Suspicions(now time.Time) []Suspicion {
	var out []Suspicion
	for id, at := range s.heard {
		if r := s.replicas[id]; now.Sub(at) < heardTTL && (r == nil || r.evidenceAt.Before(at)) {
			out = append(out, Suspicion{id, now.Sub(at)})
		}
	}
	for id, r := range s.replicas {
		if !r.evidenceAt.IsZero() && now.Sub(r.evidenceAt) < heardTTL {
			out = append(out, Suspicion{id, now.Sub(r.evidenceAt)})
		}
	}
	return out
}

// Merge records the suspicions of a peer. Those older than progress seen here do not count.
func (s *Stalls) Merge(now time.Time, suspicions []Suspicion) {
	s.init()
	for _, sus := range suspicions {
		at := now.Add(-sus.Age)
		if sus.Age < 0 || sus.Age >= heardTTL {
			continue
		}
		if r := s.replicas[sus.Replica]; r != nil && !r.progress.Before(at) {
			continue
		}
		old, ok := s.heard[sus.Replica]
		if ok && at.After(old) || !ok && len(s.heard) < maxHeard {
			s.heard[sus.Replica] = at
		}
	}
}
