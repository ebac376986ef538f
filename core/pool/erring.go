package pool

import (
	"math"
	"time"
)

// Erring means that all replicas have just responded with an error of their own, for a request
// that has had such a response already.
const Erring Reason = "erring"

// erringTime is how long a second attempt keeps away from a replica whose last response to an
// idempotent request was an error. It is some times the 25 ms between two attempts, since errors
// with a common cause last longer than that.
const erringTime = 250 * time.Millisecond

// Weights of the errors that idempotent requests had as responses.
const (
	// errorMemory is the time after which responses count 1/e. An instance of a large fleet
	// sends a replica one such request in four seconds, and needs some of them to tell a replica
	// that fails half of them from one that fails a seventh.
	errorMemory = 30 * time.Second
	// priorResponses are assumed for each replica, a share of priorErrors of them errors.
	priorResponses = 2.0
	priorErrors    = 0.1
)

// errors is how a replica responded to idempotent requests. It is kept apart from the failure
// rate of all requests, since errors may hit only some kinds.
type errors struct {
	// responses and failed are the numbers of the responses and of the errors among them,
	// counted less with their age, and at the time of the last response.
	responses, failed float64
	at                time.Time
	// erred is true if the last response was an error.
	erred bool
}

// IdempotentResponse records whether a replica responded to an idempotent request with an error.
func (p *Pool) IdempotentResponse(now time.Time, id string, erred bool) {
	r, ok := p.replicas[id]
	if !ok {
		return
	}
	kept := r.errors.kept(now)
	r.errors.responses = r.errors.responses*kept + 1
	r.errors.failed *= kept
	if erred {
		r.errors.failed++
	}
	r.errors.at, r.errors.erred = now, erred
}

// kept returns what is left of the weight that the responses had at the last one.
func (e *errors) kept(now time.Time) float64 {
	return math.Exp(-now.Sub(e.at).Seconds() / errorMemory.Seconds())
}

// CompletedError records that an error of a replica was passed on completely. The replica is
// no longer avoided, since it can be reached, but its failure rate stays.
func (p *Pool) CompletedError(id string) {
	if r, ok := p.replicas[id]; ok {
		r.failures, r.avoidUntil = 0, time.Time{}
	}
}

// erring reports whether the last response of the replica to an idempotent request was an error
// and came just now.
func (r *replica) erring(now time.Time) bool {
	return r.errors.erred && now.Sub(r.errors.at) < erringTime
}

// errorCost returns the cost of a replica for an idempotent request by its errors.
func (r *replica) errorCost(now time.Time, req Request) time.Duration {
	if !req.Idempotent {
		return 0
	}
	kept := r.errors.kept(now)
	rate := (r.errors.failed*kept + priorErrors*priorResponses) / (r.errors.responses*kept + priorResponses)
	return time.Duration(rate * float64(failDelay))
}
