package pool

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/answertime"
)

// Request is a request for which a replica is to be chosen.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// MinVersion is the oldest weight version that the request may run on.
	MinVersion int
	// Tokens is the memory that the request needs, in tokens. PrefillTokens is the
	// part of its prompt that has to be prefilled.
	Tokens, PrefillTokens int
	// Transfers are the transfers of the request's context from stores.
	Transfers []Transfer
	// AffinityKey selects the replicas that requests with the same context return to.
	// MissingTokens is the number of tokens of the context that no store holds, and
	// PrefillReplica the replica that is known to prefill them; empty if none is.
	AffinityKey    string
	MissingTokens  int
	PrefillReplica string
	// ColdRate is the number of requests per second that a cold replica can take; 0
	// if cold replicas are not limited.
	ColdRate float64
	// Memory is the memory of a replica in tokens; 0 if it has no limit.
	Memory int
	// Priority orders the requests to replicas that state limits; 0 is the most urgent.
	Priority int
	// Target is the time at which the first event is due, and Deadline that for the last one;
	// zero if they are not bounded. Events is the expected number of events, each of which
	// takes Stride steps of an engine's batch; 0 if not known.
	Target, Deadline time.Time
	Events, Stride   int
	// SampleSeed selects the replicas that are compared, and differs between
	// requests; 0 compares all.
	SampleSeed uint64
	// Software is the software version that the replica must have; empty if any will do.
	Software string
	// Idempotent requests go by the errors that others of them had. AvoidErring is true if the
	// request has had an error itself and must not go to a replica that has just responded with
	// one.
	Idempotent, AvoidErring bool
	// Versions are the software versions that the replica may have.
	Versions Versions
	// Repeatable requests may run again, and are sent to suspected replicas as probes.
	Repeatable bool
	// ClosedDataCentres holds the data centres that get no work, and Tried the
	// replicas that the request was already sent to.
	ClosedDataCentres, Tried map[string]bool
}

// Transfer is a transfer of context between a store and a replica.
type Transfer struct {
	// DataCentre is the data centre of the store.
	DataCentre string
	// Latency is the fixed delay of the transfer. LinkTime is the time that it takes
	// on a link within one data centre.
	Latency, LinkTime time.Duration
}

// remoteFactor is how many times longer a transfer occupies a link between data
// centres, according to the platform's documentation.
const remoteFactor = 2

// Time returns the time that the transfer to a replica in a data centre takes.
func (t Transfer) Time(dataCentre string) time.Duration {
	if t.DataCentre != dataCentre {
		return t.Latency + remoteFactor*t.LinkTime
	}
	return t.Latency + t.LinkTime
}

// transferTime returns the total time of the transfers to a replica in a data centre.
func transferTime(transfers []Transfer, dataCentre string) time.Duration {
	var sum time.Duration
	for _, t := range transfers {
		sum += t.Time(dataCentre)
	}
	return sum
}

// Reason says why no replica was chosen.
type Reason string

// The reasons. If both Reloading and Cold apply, either is returned. Limited is returned
// only if no other one applies.
const (
	// NoReplica means that no replica of the service holds the model, or that those
	// that do are draining, in closed data centres or already tried.
	NoReplica Reason = "no-replica"
	// Reloading means that replicas are about to change weights, or hold too old ones.
	Reloading Reason = "reloading"
	// Cold means that this instance has used up its share of the limits of cold
	// replicas.
	Cold Reason = "cold"
	// Limited means that no request is left within the limits that replicas state, or that
	// they want none for a time.
	Limited Reason = "limited"
	// Failing means that all replicas failed or refused requests shortly before.
	Failing Reason = "failing"
	// Full means that all replicas are full.
	Full Reason = "full"
	// TooLate means that the response could not end before its deadline at any replica.
	TooLate Reason = "too-late"
)

// Choice is a chosen replica, with its weight version of the model and the estimate
// that it was chosen by.
type Choice struct {
	Replica
	Version int
	// Cold is true if the replica is cold, so that the request counts against its
	// limit.
	Cold bool
	// Limited is true if the replica has stated a limit, so that the request must be
	// granted before it is sent.
	Limited bool
	// Contended is true if requests of the service compete for replicas, so that the times of
	// the response are learned from.
	Contended bool
	Estimate  Estimate
	// Wait is the time until a replica may take the request, if the reason is Limited.
	Wait time.Duration
}

// Estimate is the load of a replica, and the delay expected there for a request.
type Estimate struct {
	Load
	// MemoryFill is the share of the replica's memory that the running requests and
	// the new one need. It exceeds 1 if the memory does not suffice.
	MemoryFill float64
	// TransferTime is the time that the transfers of the new request take.
	TransferTime time.Duration
	// Answer has the expected times of the first and the last event of the response. It is
	// zero unless requests of the service compete for replicas.
	Answer answertime.Estimate
	// Slowdown is how many times longer than usual work takes at the replica; 0 likewise.
	Slowdown float64
	// Delay is the expected delay beyond that at an idle replica. It may be negative,
	// since replicas in the local data centre are preferred. If requests of the service
	// compete for replicas, it is the cost of the choice as a delay.
	Delay time.Duration
}

// Weights of the estimate.
const (
	// prefillRate is the number of prompt tokens that an engine prefills per
	// millisecond while it decodes tokens of other requests. Without these it
	// prefills 140, according to the data sheets of the deployments.
	prefillRate = 80
	// runningDelay is what each running request adds to the time of a response.
	runningDelay = time.Millisecond
	// affinityBonus is subtracted from the delay at the first affinity replica of a
	// context, and half of it at the second. Twice the bonus is subtracted at a replica
	// that is known to prefill the context.
	affinityBonus = 16 * time.Millisecond
	// missingTokenBonus is added to affinityBonus for each token that no store holds,
	// since the token is probably cached or being prefilled at an affinity replica.
	// All instances compute the same affinity replicas, so that a context is not
	// prefilled at several replicas at once.
	missingTokenBonus = 20 * time.Microsecond
	// localBonus is subtracted from the delay at replicas in the local data centre.
	localBonus = 4 * time.Millisecond
	// waitingDelay is the delay that each request adds that waits for a slot.
	waitingDelay = 15 * time.Millisecond
	// oldVersionDelay is added for replicas with older weights than the newest of the
	// replicas to choose from.
	oldVersionDelay = 40 * time.Millisecond
	// memoryPressureDelay is added when the memory is full. It grows linearly from 0
	// at a fill of memoryPressureFrom.
	memoryPressureDelay = 400 * time.Millisecond
	memoryPressureFrom  = 0.8
	// failDelay is added for a replica that fails all requests, and in proportion for
	// lower failure rates.
	failDelay = 500 * time.Millisecond
	// defaultDelay is assumed as the median delay of a service before its first
	// response.
	defaultDelay = 50 * time.Millisecond
	// A replica is full if it runs fullSlots times as many requests as it has slots,
	// or if it runs any and would need more than fullMemory times its memory with the
	// new one. Requests sent to a full replica wait there, and so do all later ones.
	fullSlots  = 2.0
	fullMemory = 1.0
)

// Choose returns the replica with the best estimate, or the reason why there is none;
// the reason is empty if a replica was chosen. While the replica is cold, the request
// counts against its limit. The caller must call Begin.
func (p *Pool) Choose(now time.Time, req Request) (Choice, Reason) {
	if p.tooLate(now, req) {
		return Choice{}, TooLate
	}
	reason := NoReplica
	var wait time.Duration
	eligible, avoided := p.eligible[:0], p.avoided[:0]
	highest, restricted := p.highestOfFirst(req)
	for _, r := range p.replicas {
		if r.Service != req.Service || r.Draining || req.ClosedDataCentres[r.DataCentre] || req.Tried[r.ID] {
			continue
		}
		if req.Software != "" && r.Software != req.Software || !req.Versions.Allow(r.Software) || restricted && req.Versions.Rank(r.ID) > highest {
			continue
		}
		version := 0
		if req.Model != "" {
			if version = r.Versions[req.Model]; version == 0 {
				continue
			}
		}
		switch {
		case r.reloading(now) || version < req.MinVersion:
			reason = Reloading
		case p.coldLimited(now, r, req.ColdRate):
			reason = Cold
		case p.waits.Left(now, r.ID, r.Incarnation) > 0:
			wait = shorter(wait, p.waits.Left(now, r.ID, r.Incarnation))
		case r.deferred(now, req.Priority):
			wait = shorter(wait, r.deferredUntil.Sub(now))
		case req.AvoidErring && r.erring(now):
			reason = Erring
		case r.avoided(now, req.Repeatable):
			avoided = append(avoided, candidate{r, version})
		default:
			eligible = append(eligible, candidate{r, version})
		}
	}
	// Keep the slices, so that they are not allocated again for each request.
	p.eligible, p.avoided = eligible, avoided
	if len(eligible) == 0 && len(avoided) > 0 {
		// After the initial backoff, a replica that failed is better than none.
		reason = Failing
		eligible = retryable(now, avoided)
	}
	best, estimate := p.best(now, req, eligible)
	if best == nil {
		// All replicas of the sample are full, so compare all.
		req.SampleSeed = 0
		best, estimate = p.best(now, req, eligible)
	}
	if best == nil {
		switch {
		case len(eligible) > 0:
			reason = Full
		case wait > 0 && reason == NoReplica:
			return Choice{Wait: wait}, Limited
		}
		return Choice{}, reason
	}
	cold := req.ColdRate > 0 && now.Before(best.ColdUntil)
	if cold {
		best.coldBudget--
	}
	if now.Before(best.suspicion.until) {
		best.suspicion.probeAt = now.Add(probeInterval)
	}
	return Choice{
		Replica: best.Replica, Version: best.Versions[req.Model], Cold: cold, Limited: best.limit.Limited, Estimate: estimate, Contended: p.contended(req.Service),
	}, ""
}

// shorter returns the shorter of two times, of which a may be 0 for none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// candidate is a replica to choose from, with its weight version of the model.
type candidate struct {
	*replica
	version int
}

// retryable returns the avoided replicas that may be chosen if there are no others:
// those without a failure since their last success, and those whose last failure is
// at least initialBackoff ago.
func retryable(now time.Time, avoided []candidate) []candidate {
	var out []candidate
	for _, r := range avoided {
		backoff := min(initialBackoff<<min(max(r.failures-1, 0), 10), maxBackoff)
		if r.failures == 0 || now.Sub(r.avoidUntil.Add(-backoff)) >= initialBackoff {
			out = append(out, r)
		}
	}
	return out
}

// estimate returns the estimate for a request at a replica; ok is false if the
// replica is full. median is the median delay of the service.
func (p *Pool) estimate(now time.Time, req Request, r *replica, median time.Duration) (estimate Estimate, ok bool) {
	load := r.load(now)
	estimate.Load = load
	running := load.Running
	var cost time.Duration
	if now.Sub(r.reported.at) < reportTTL {
		running = max(running, r.reported.running)
		cost += time.Duration(r.reported.waiting) * waitingDelay
	}
	slots := max(r.Slots, 1)
	if float64(running) >= fullSlots*float64(slots) {
		return estimate, false
	}
	if running >= slots {
		cost += time.Duration(running-slots+1) * waitingDelay
	}
	if req.Memory > 0 {
		estimate.MemoryFill = float64(load.Tokens+req.Tokens) / float64(req.Memory)
		if estimate.MemoryFill > fullMemory && load.Running > 0 {
			return estimate, false
		}
		if estimate.MemoryFill > memoryPressureFrom {
			cost += time.Duration((estimate.MemoryFill - memoryPressureFrom) / (1 - memoryPressureFrom) * float64(memoryPressureDelay))
		}
		estimate.TransferTime = transferTime(req.Transfers, r.DataCentre)
		if p.contended(req.Service) {
			estimate.Slowdown = r.speed.Now(now)
			estimate.Answer = p.answer(now, req, r, load, running)
			cost += p.answerCost(now, req, r, running, estimate.Answer)
		} else {
			cost += time.Duration(running)*runningDelay + time.Duration(load.PendingPrefill)*time.Millisecond/prefillRate
			cost += load.PendingTransfer + estimate.TransferTime
		}
	} else if p.contended(req.Service) {
		estimate.Slowdown = r.speed.Now(now)
		estimate.Answer = plainAnswer(median, running, slots, estimate.Slowdown)
		cost += plainCost(load, estimate.Answer)
	} else {
		cost += median * time.Duration(running) / time.Duration(slots)
	}
	if r.DataCentre == p.DataCentre {
		cost -= localBonus
	}
	cost += r.excessDelay(now, median) + time.Duration(r.failRate*decay(now, r.failAt)*float64(failDelay))
	estimate.Delay = cost
	return estimate, true
}

// medianTTL is how long a computed median delay is used.
const medianTTL = 50 * time.Millisecond

// affinityReplicas returns the indexes of the two replicas that requests with the same
// context return to, chosen by rendezvous hashing; -1 stands for none.
func affinityReplicas(key string, all []candidate) (first, second int) {
	first, second = -1, -1
	if key == "" {
		return first, second
	}
	var highest, next uint64
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	for i, r := range all {
		binary.LittleEndian.PutUint64(pair[8:], r.hash)
		s := xxhash.Sum64(pair[:])
		switch {
		case first < 0 || s > highest:
			second, next = first, highest
			first, highest = i, s
		case second < 0 || s > next:
			second, next = i, s
		}
	}
	return first, second
}
