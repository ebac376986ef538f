package pool

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is what a choice depends on.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Oldest is the oldest weight version that the request may run on.
	Oldest int
	// Tokens is the memory that the request needs, Reading the part of its
	// prompt that has to be read.
	Tokens, Reading int
	// Moves are the transfers of its context.
	Moves []Move
	// Home selects the replicas that the same context returns to. Missing is the
	// number of tokens of its context that no store holds, and Reader the replica
	// that is known to read them.
	Home    string
	Missing int
	Reader  string
	// ColdRate is the number of requests per second that a cold replica bears.
	ColdRate float64
	// Memory is that of a replica in tokens; 0 if it has no limit.
	Memory int
	// Draw differs between requests; it decides which replicas are compared.
	Draw uint64
	// Closed holds the data centres that get no work, Tried the replicas that
	// were already tried.
	Closed, Tried map[string]bool
}

// Move is a transfer of context between a store and a replica.
type Move struct {
	// DataCentre is that of the store.
	DataCentre string
	// First is its fixed delay, Body its time on the link within a data centre.
	First, Body time.Duration
}

// farTimes is how many times as long a transfer takes between data centres, as
// the platform's pages give it.
const farTimes = 2

// Time is the time that the transfer takes for a replica of a data centre.
func (m Move) Time(dataCentre string) time.Duration {
	if m.DataCentre != dataCentre {
		return m.First + farTimes*m.Body
	}
	return m.First + m.Body
}

// moving returns the time of all transfers for a replica.
func moving(moves []Move, dataCentre string) time.Duration {
	var sum time.Duration
	for _, m := range moves {
		sum += m.Time(dataCentre)
	}
	return sum
}

// Reason says why no replica was chosen.
type Reason string

// The reasons.
const (
	NoReplica Reason = "no-replica"
	Reloading Reason = "reloading"
	Cold      Reason = "cold"
	Failing   Reason = "failing"
	Full      Reason = "full"
)

// Choice is a chosen replica, with the weight version that it holds and the
// load that it was chosen by.
type Choice struct {
	Replica
	Version int
	// Cold is true if the replica is cold, so that the request counts against
	// what it bears.
	Cold bool
	Seen Seen
}

// Seen is what was known of a replica's load when it was chosen.
type Seen struct {
	Load
	// Fill is the share of the memory that the running requests and the new one
	// need.
	Fill float64
	// Moves is the time that the request's own transfers take.
	Moves time.Duration
	// Delay is the expected delay on top of that of an idle replica.
	Delay time.Duration
}

// Weights of the estimate.
const (
	// readRate is the number of prompt tokens that an engine reads in a
	// millisecond between the tokens of other requests; alone it reads 140, as
	// the deployments' sheets give it.
	readRate = 80
	// slotDelay is what each running request adds to the time of an answer.
	slotDelay = time.Millisecond
	// homeGain is the time that the first home of a context is preferred by;
	// the second home has half of it.
	homeGain = 16 * time.Millisecond
	// missingGain is the time for each missing token that the replica where it is
	// likely read, or cached, is preferred by. All instances agree on the homes,
	// so that a context is not read in several places at once.
	missingGain = 20 * time.Microsecond
	// nearGain prefers replicas of the own data centre.
	nearGain = 4 * time.Millisecond
	// waitingDelay is what each request that waits at a replica adds.
	waitingDelay = 15 * time.Millisecond
	// oldVersionDelay is added for replicas with older weights.
	oldVersionDelay = 40 * time.Millisecond
	// tightDelay is added at full memory; it grows from tightFrom on.
	tightDelay = 400 * time.Millisecond
	tightFrom  = 0.8
	// failDelay is added for a replica that fails all requests.
	failDelay = 500 * time.Millisecond
	// unknownDelay is the delay of a service that has not answered yet.
	unknownDelay = 50 * time.Millisecond
	// fullSlots and fullMemory are the loads at which a replica is full: what is
	// sent beyond them waits there, and all that comes after it.
	fullSlots  = 2.0
	fullMemory = 1.0
)

// Choose returns the replica with the best estimate and counts the request
// against its limit while it is cold. The caller must call Begin.
func (p *Pool) Choose(now time.Time, req Request) (Choice, Reason) {
	reason := NoReplica
	open, avoided := p.open[:0], p.avoided[:0]
	for _, r := range p.replicas {
		if r.Service != req.Service || r.Draining || req.Closed[r.DataCentre] || req.Tried[r.ID] {
			continue
		}
		version := 0
		if req.Model != "" {
			if version = r.Versions[req.Model]; version == 0 {
				continue
			}
		}
		switch {
		case r.reloading(now) || version < req.Oldest:
			reason = Reloading
		case p.cold(now, r, req.ColdRate):
			reason = Cold
		case now.Before(r.avoidUntil):
			avoided = append(avoided, candidate{r, version})
		default:
			open = append(open, candidate{r, version})
		}
	}
	// The slices are kept, since they are built for each request.
	p.open, p.avoided = open, avoided
	if len(open) == 0 && len(avoided) > 0 {
		// A replica that failed is better than none once its first pause is over.
		reason = Failing
		open = retryable(now, avoided)
	}
	best, seen := p.best(now, req, open)
	if best == nil {
		req.Draw = 0
		best, seen = p.best(now, req, open)
	}
	if best == nil {
		if len(open) > 0 {
			reason = Full
		}
		return Choice{}, reason
	}
	cold := req.ColdRate > 0 && now.Before(best.ColdUntil)
	if cold {
		best.grant--
	}
	return Choice{best.Replica, best.Versions[req.Model], cold, seen}, ""
}

// candidate is a replica that may be chosen, with its weight version of the model.
type candidate struct {
	*replica
	version int
}

// retryable returns the replicas that did not fail for some time.
func retryable(now time.Time, avoided []candidate) []candidate {
	var out []candidate
	for _, r := range avoided {
		pause := min(firstPause<<min(max(r.failures-1, 0), 10), longestPause)
		if r.failures == 0 || now.Sub(r.avoidUntil.Add(-pause)) >= firstPause {
			out = append(out, r)
		}
	}
	return out
}

func (p *Pool) best(now time.Time, req Request, open []candidate) (*replica, Seen) {
	newest := 0
	for _, r := range open {
		newest = max(newest, r.version)
	}
	usual := p.usualDelay(now, req.Service, open)
	first, second := homes(req.Home, open)
	gain := homeGain + time.Duration(req.Missing)*missingGain
	some := drawn(req.Draw, open)
	var best *replica
	var bestSeen Seen
	var least time.Duration
	for i, r := range open {
		if !some[i] && i != first && i != second && r.ID != req.Reader {
			continue
		}
		seen, ok := p.estimate(now, req, r.replica, usual)
		if !ok {
			continue
		}
		cost := seen.Delay
		if r.version < newest {
			cost += oldVersionDelay
		}
		switch {
		case r.ID == req.Reader:
			cost -= 2 * gain
		case i == first:
			cost -= gain
		case i == second:
			cost -= gain / 2
		}
		if best == nil || cost < least || cost == least && r.ID < best.ID {
			best, bestSeen, least = r.replica, seen, cost
		}
	}
	return best, bestSeen
}

// compared is the number of replicas that a request is compared at. Instances
// that hear of each other's requests late would all choose the same best replica;
// of a few drawn ones the best is nearly as good.
const compared = 3

// drawn chooses the replicas that a request is compared at; no draw means all.
func drawn(draw uint64, all []candidate) []bool {
	some := make([]bool, len(all))
	if draw == 0 || len(all) <= compared {
		for i := range some {
			some[i] = true
		}
		return some
	}
	// chosen has the highest scores so far, highest first.
	var chosen [compared]struct {
		score uint64
		index int
	}
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], draw)
	for i, r := range all {
		binary.LittleEndian.PutUint64(key[8:], r.hash)
		score := xxhash.Sum64(key[:])
		for k := range chosen {
			if score > chosen[k].score {
				copy(chosen[k+1:], chosen[k:])
				chosen[k].score, chosen[k].index = score, i
				break
			}
		}
	}
	for _, c := range chosen {
		some[c.index] = true
	}
	return some
}

// estimate returns the expected delay of a request at a replica; ok is false if
// the replica is full.
func (p *Pool) estimate(now time.Time, req Request, r *replica, usual time.Duration) (seen Seen, ok bool) {
	load := r.load(now)
	seen.Load = load
	running := load.Running
	var cost time.Duration
	if now.Sub(r.reported.at) < reportLife {
		running = max(running, r.reported.running)
		cost += time.Duration(r.reported.waiting) * waitingDelay
	}
	slots := max(r.Slots, 1)
	if float64(running) >= fullSlots*float64(slots) {
		return seen, false
	}
	if running >= slots {
		cost += time.Duration(running-slots+1) * waitingDelay
	}
	if req.Memory > 0 {
		seen.Fill = float64(load.Tokens+req.Tokens) / float64(req.Memory)
		if seen.Fill > fullMemory && load.Running > 0 {
			return seen, false
		}
		if seen.Fill > tightFrom {
			cost += time.Duration((seen.Fill - tightFrom) / (1 - tightFrom) * float64(tightDelay))
		}
		seen.Moves = moving(req.Moves, r.DataCentre)
		cost += time.Duration(running)*slotDelay + time.Duration(load.Reading)*time.Millisecond/readRate
		cost += load.Moving + seen.Moves
	} else {
		cost += usual * time.Duration(running) / time.Duration(slots)
	}
	if r.DataCentre == p.DataCentre {
		cost -= nearGain
	}
	cost += r.excessDelay(now, usual) + time.Duration(r.failRate*faded(now, r.failAt)*float64(failDelay))
	seen.Delay = cost
	return seen, true
}

// excessDelay is the delay beyond the usual one, which fades with time so that
// a replica that got no requests is tried again.
func (r *replica) excessDelay(now time.Time, usual time.Duration) time.Duration {
	excess := r.delay - usual*3/2
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * faded(now, r.delayAt))
}

// faded is the share of an observation that still counts.
func faded(now, at time.Time) float64 {
	age := float64(now.Sub(at)) / float64(fadeTime)
	return 1 / (1 + age*age)
}

// usualFor is how long the usual delay of a service is taken as it was.
const usualFor = 50 * time.Millisecond

// usual is the usual delay of a service's replicas at a moment.
type usual struct {
	at    time.Time
	delay time.Duration
}

// usualDelay is the median of the replicas' delays.
func (p *Pool) usualDelay(now time.Time, service string, all []candidate) time.Duration {
	if u, ok := p.usual[service]; ok && now.Sub(u.at) < usualFor && !now.Before(u.at) {
		return u.delay
	}
	var delays []time.Duration
	for _, r := range all {
		if !r.delayAt.IsZero() {
			delays = append(delays, r.delay)
		}
	}
	if len(delays) == 0 {
		return unknownDelay
	}
	slices.Sort(delays)
	if p.usual == nil {
		p.usual = map[string]usual{}
	}
	p.usual[service] = usual{now, delays[len(delays)/2]}
	return p.usual[service].delay
}

// cold reports whether a replica is cold and this instance has used its share
// of what it bears.
func (p *Pool) cold(now time.Time, r *replica, rate float64) bool {
	if rate <= 0 || !now.Before(r.ColdUntil) {
		r.grantAt = time.Time{}
		return false
	}
	share := p.Crew.Share(r.hash, p.coldSharers(rate))
	if share == 0 {
		return true
	}
	if r.grantAt.IsZero() {
		r.grant = 1
	} else {
		r.grant = min(1, r.grant+now.Sub(r.grantAt).Seconds()*rate*share)
	}
	r.grantAt = now
	return r.grant < 1
}

// coldSharers is the number of instances that may send to a cold replica: each may
// begin with one request at once, beside the rate, so that their sum stays within
// what is allowed beyond it.
func (p *Pool) coldSharers(rate float64) int {
	return int((p.ColdOvershoot-1)*rate + p.ColdSlack)
}

// homes returns the indexes of the two replicas that a context returns to, by
// rendezvous hashing; -1 if there is none.
func homes(key string, all []candidate) (first, second int) {
	first, second = -1, -1
	if key == "" {
		return first, second
	}
	var top, next uint64
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	for i, r := range all {
		binary.LittleEndian.PutUint64(pair[8:], r.hash)
		s := xxhash.Sum64(pair[:])
		switch {
		case first < 0 || s > top:
			second, next = first, top
			first, top = i, s
		case second < 0 || s > next:
			second, next = i, s
		}
	}
	return first, second
}
