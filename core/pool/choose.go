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
	// MinVersion is the oldest weight version that the request may run on.
	MinVersion int
	// Tokens is the memory that the request needs, Reading the part of its
	// prompt that has to be read.
	Tokens, PrefillTokens int
	// Transfers are the transfers of its context.
	Transfers []Transfer
	// AffinityKey selects the replicas that the same context returns to. Missing is the
	// number of tokens of its context that no store holds, and Reader the replica
	// that is known to read them.
	AffinityKey    string
	MissingTokens  int
	PrefillReplica string
	// ColdRate is the number of requests per second that a cold replica bears.
	ColdRate float64
	// Memory is that of a replica in tokens; 0 if it has no limit.
	Memory int
	// SampleSeed differs between requests; it decides which replicas are compared.
	SampleSeed uint64
	// ClosedDataCentres holds the data centres that get no work, Tried the replicas that
	// were already tried.
	ClosedDataCentres, Tried map[string]bool
}

// Transfer is a transfer of context between a store and a replica.
type Transfer struct {
	// DataCentre is that of the store.
	DataCentre string
	// Latency is its fixed delay, Body its time on the link within a data centre.
	Latency, LinkTime time.Duration
}

// remoteFactor is how many times as long a transfer takes between data centres, as
// the platform's pages give it.
const remoteFactor = 2

// Time is the time that the transfer takes for a replica of a data centre.
func (m Transfer) Time(dataCentre string) time.Duration {
	if m.DataCentre != dataCentre {
		return m.Latency + remoteFactor*m.LinkTime
	}
	return m.Latency + m.LinkTime
}

// transferTime returns the time of all transfers for a replica.
func transferTime(moves []Transfer, dataCentre string) time.Duration {
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
	Cold     bool
	Estimate Estimate
}

// Estimate is what was known of a replica's load when it was chosen.
type Estimate struct {
	Load
	// MemoryFill is the share of the memory that the running requests and the new one
	// need.
	MemoryFill float64
	// TransferTime is the time that the request's own transfers take.
	TransferTime time.Duration
	// Delay is the expected delay on top of that of an idle replica.
	Delay time.Duration
}

// Weights of the estimate.
const (
	// prefillRate is the number of prompt tokens that an engine reads in a
	// millisecond between the tokens of other requests; alone it reads 140, as
	// the deployments' sheets give it.
	prefillRate = 80
	// runningDelay is what each running request adds to the time of an answer.
	runningDelay = time.Millisecond
	// affinityBonus is the time that the first home of a context is preferred by;
	// the second home has half of it.
	affinityBonus = 16 * time.Millisecond
	// missingTokenBonus is the time for each missing token that the replica where it is
	// likely read, or cached, is preferred by. All instances agree on the homes,
	// so that a context is not read in several places at once.
	missingTokenBonus = 20 * time.Microsecond
	// localBonus prefers replicas of the own data centre.
	localBonus = 4 * time.Millisecond
	// waitingDelay is what each request that waits at a replica adds.
	waitingDelay = 15 * time.Millisecond
	// oldVersionDelay is added for replicas with older weights.
	oldVersionDelay = 40 * time.Millisecond
	// memoryPressureDelay is added at full memory; it grows from tightFrom on.
	memoryPressureDelay = 400 * time.Millisecond
	memoryPressureFrom  = 0.8
	// failDelay is added for a replica that fails all requests.
	failDelay = 500 * time.Millisecond
	// defaultDelay is the delay of a service that has not answered yet.
	defaultDelay = 50 * time.Millisecond
	// fullSlots and fullMemory are the loads at which a replica is full: what is
	// sent beyond them waits there, and all that comes after it.
	fullSlots  = 2.0
	fullMemory = 1.0
)

// Choose returns the replica with the best estimate and counts the request
// against its limit while it is cold. The caller must call Begin.
func (p *Pool) Choose(now time.Time, req Request) (Choice, Reason) {
	reason := NoReplica
	eligible, avoided := p.eligible[:0], p.avoided[:0]
	for _, r := range p.replicas {
		if r.Service != req.Service || r.Draining || req.ClosedDataCentres[r.DataCentre] || req.Tried[r.ID] {
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
		case now.Before(r.avoidUntil):
			avoided = append(avoided, candidate{r, version})
		default:
			eligible = append(eligible, candidate{r, version})
		}
	}
	// The slices are kept, since they are built for each request.
	p.eligible, p.avoided = eligible, avoided
	if len(eligible) == 0 && len(avoided) > 0 {
		// A replica that failed is better than none once its first pause is over.
		reason = Failing
		eligible = retryable(now, avoided)
	}
	best, estimate := p.best(now, req, eligible)
	if best == nil {
		req.SampleSeed = 0
		best, estimate = p.best(now, req, eligible)
	}
	if best == nil {
		if len(eligible) > 0 {
			reason = Full
		}
		return Choice{}, reason
	}
	cold := req.ColdRate > 0 && now.Before(best.ColdUntil)
	if cold {
		best.coldBudget--
	}
	return Choice{best.Replica, best.Versions[req.Model], cold, estimate}, ""
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
		backoff := min(initialBackoff<<min(max(r.failures-1, 0), 10), maxBackoff)
		if r.failures == 0 || now.Sub(r.avoidUntil.Add(-backoff)) >= initialBackoff {
			out = append(out, r)
		}
	}
	return out
}

func (p *Pool) best(now time.Time, req Request, eligible []candidate) (*replica, Estimate) {
	newest := 0
	for _, r := range eligible {
		newest = max(newest, r.version)
	}
	median := p.medianDelay(now, req.Service, eligible)
	first, second := affinityReplicas(req.AffinityKey, eligible)
	bonus := affinityBonus + time.Duration(req.MissingTokens)*missingTokenBonus
	sampled := sample(req.SampleSeed, eligible)
	var best *replica
	var bestEstimate Estimate
	var lowest time.Duration
	for i, r := range eligible {
		if !sampled[i] && i != first && i != second && r.ID != req.PrefillReplica {
			continue
		}
		estimate, ok := p.estimate(now, req, r.replica, median)
		if !ok {
			continue
		}
		cost := estimate.Delay
		if r.version < newest {
			cost += oldVersionDelay
		}
		switch {
		case r.ID == req.PrefillReplica:
			cost -= 2 * bonus
		case i == first:
			cost -= bonus
		case i == second:
			cost -= bonus / 2
		}
		if best == nil || cost < lowest || cost == lowest && r.ID < best.ID {
			best, bestEstimate, lowest = r.replica, estimate, cost
		}
	}
	return best, bestEstimate
}

// sampleSize is the number of replicas that a request is compared at. Instances
// that hear of each other's requests late would all choose the same best replica;
// of a few drawn ones the best is nearly as good.
const sampleSize = 3

// sample chooses the replicas that a request is compared at; no draw means all.
func sample(seed uint64, all []candidate) []bool {
	sampled := make([]bool, len(all))
	if seed == 0 || len(all) <= sampleSize {
		for i := range sampled {
			sampled[i] = true
		}
		return sampled
	}
	// top has the highest scores so far, highest first.
	var top [sampleSize]struct {
		score uint64
		index int
	}
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	for i, r := range all {
		binary.LittleEndian.PutUint64(key[8:], r.hash)
		score := xxhash.Sum64(key[:])
		for k := range top {
			if score > top[k].score {
				copy(top[k+1:], top[k:])
				top[k].score, top[k].index = score, i
				break
			}
		}
	}
	for _, c := range top {
		sampled[c.index] = true
	}
	return sampled
}

// estimate returns the expected delay of a request at a replica; ok is false if
// the replica is full.
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
		cost += time.Duration(running)*runningDelay + time.Duration(load.PendingPrefill)*time.Millisecond/prefillRate
		cost += load.PendingTransfer + estimate.TransferTime
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

// excessDelay is the delay beyond the usual one, which fades with time so that
// a replica that got no requests is tried again.
func (r *replica) excessDelay(now time.Time, median time.Duration) time.Duration {
	excess := r.meanDelay - median*3/2
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * decay(now, r.meanDelayAt))
}

// decay is the share of an observation that still counts.
func decay(now, at time.Time) float64 {
	age := float64(now.Sub(at)) / float64(decayTime)
	return 1 / (1 + age*age)
}

// medianTTL is how long the usual delay of a service is taken as it was.
const medianTTL = 50 * time.Millisecond

// delayMedian is the usual delay of a service's replicas at a moment.
type delayMedian struct {
	at    time.Time
	delay time.Duration
}

// medianDelay is the median of the replicas' delays.
func (p *Pool) medianDelay(now time.Time, service string, all []candidate) time.Duration {
	if u, ok := p.medianDelays[service]; ok && now.Sub(u.at) < medianTTL && !now.Before(u.at) {
		return u.delay
	}
	var delays []time.Duration
	for _, r := range all {
		if !r.meanDelayAt.IsZero() {
			delays = append(delays, r.meanDelay)
		}
	}
	if len(delays) == 0 {
		return defaultDelay
	}
	slices.Sort(delays)
	if p.medianDelays == nil {
		p.medianDelays = map[string]delayMedian{}
	}
	p.medianDelays[service] = delayMedian{now, delays[len(delays)/2]}
	return p.medianDelays[service].delay
}

// coldLimited reports whether a replica is cold and this instance has used its share
// of what it bears.
func (p *Pool) coldLimited(now time.Time, r *replica, rate float64) bool {
	if rate <= 0 || !now.Before(r.ColdUntil) {
		r.coldBudgetAt = time.Time{}
		return false
	}
	share := p.LimitGroup.Share(r.hash, p.maxColdSenders(rate))
	if share == 0 {
		return true
	}
	if r.coldBudgetAt.IsZero() {
		r.coldBudget = 1
	} else {
		r.coldBudget = min(1, r.coldBudget+now.Sub(r.coldBudgetAt).Seconds()*rate*share)
	}
	r.coldBudgetAt = now
	return r.coldBudget < 1
}

// maxColdSenders is the number of instances that may send to a cold replica: each may
// begin with one request at once, beside the rate, so that their sum stays within
// what is allowed beyond it.
func (p *Pool) maxColdSenders(rate float64) int {
	return int((p.ColdOvershoot-1)*rate + p.ColdSlack)
}

// affinityReplicas returns the indexes of the two replicas that a context returns to, by
// rendezvous hashing; -1 if there is none.
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
