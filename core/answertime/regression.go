package answertime

import (
	"math"
	"time"
)

// Constants of the regressions.
const (
	// memory is the age at which an observation has lost most of its weight. Loads and the
	// mix of requests change over minutes.
	memory = time.Minute
	// priorWeight is the number of observations that the prior counts as. A single stream
	// gives about as many, so that it alone does not decide.
	priorWeight = 20
	// knownWeight is the number of observations from which on the prior counts little.
	knownWeight = 5 * priorWeight
	// maxExcess bounds an observation to a multiple of what is expected, so that a replica
	// that stands still does not change what is usual. maxUnknownExcess is that multiple before
	// knownWeight observations, since the prior may be off by far.
	maxExcess        = 4
	maxUnknownExcess = 20
)

// features are the variables that a time depends on: a constant, the running requests and the
// prompt tokens to prefill, scaled so that each is about 1 at a usual load.
type features [3]float64

// Scales of the features.
const (
	runningScale = 10
	prefillScale = 10_000
)

func featuresOf(running, prefill int) features {
	return features{1, float64(running) / runningScale, float64(prefill) / prefillScale}
}

// regression learns a time in milliseconds as a linear function of the features, by least
// squares with observations that decay. It is drawn to a prior, which is all it has before
// the first observation.
type regression struct {
	products [3][3]float64
	sums     features
	at       time.Time
	coeffs   features
	solvedAt time.Time
	dirty    bool
}

// solveInterval bounds how often the coefficients are computed again.
const solveInterval = 100 * time.Millisecond

// observe records that a time of ms milliseconds was measured.
func (r *regression) observe(now time.Time, prior, x features, ms float64) {
	limit := float64(maxUnknownExcess)
	if r.known() {
		limit = maxExcess
	}
	if expected := r.value(now, prior, x); expected > 0 {
		ms = min(ms, limit*expected)
	}
	if age := now.Sub(r.at); !r.at.IsZero() && age > 0 {
		keep := math.Exp(-age.Seconds() / memory.Seconds())
		for i := range r.products {
			for j := range r.products[i] {
				r.products[i][j] *= keep
			}
			r.sums[i] *= keep
		}
	}
	if now.After(r.at) {
		r.at = now
	}
	for i := range x {
		for j := range x {
			r.products[i][j] += x[i] * x[j]
		}
		r.sums[i] += x[i] * ms
	}
	r.dirty = true
}

// known reports whether the coefficients are learned ones rather than the prior.
func (r *regression) known() bool { return r.products[0][0] >= knownWeight }

// value returns the expected time in milliseconds.
func (r *regression) value(now time.Time, prior, x features) float64 {
	c := r.coefficients(now, prior)
	return c[0]*x[0] + c[1]*x[1] + c[2]*x[2]
}

// coefficients returns the learned coefficients, none of which is negative.
func (r *regression) coefficients(now time.Time, prior features) features {
	if r.at.IsZero() {
		return prior
	}
	if r.dirty && (r.solvedAt.IsZero() || now.Sub(r.solvedAt) >= solveInterval || now.Before(r.solvedAt)) {
		r.coeffs, r.solvedAt, r.dirty = solve(r.products, r.sums, prior), now, false
	}
	return r.coeffs
}

// solve returns the coefficients with the least squared error, with the prior as priorWeight
// observations of each one.
func solve(products [3][3]float64, sums, prior features) features {
	for i := range prior {
		products[i][i] += priorWeight
		sums[i] += priorWeight * prior[i]
	}
	// The matrix is symmetric and positive definite, so that elimination needs no pivoting.
	for i := range sums {
		for j := i + 1; j < len(sums); j++ {
			f := products[j][i] / products[i][i]
			for k := i; k < len(sums); k++ {
				products[j][k] -= f * products[i][k]
			}
			sums[j] -= f * sums[i]
		}
	}
	var out features
	for i := len(sums) - 1; i >= 0; i-- {
		out[i] = sums[i]
		for k := i + 1; k < len(sums); k++ {
			out[i] -= products[i][k] * out[k]
		}
		out[i] /= products[i][i]
	}
	for i := range out {
		out[i] = max(out[i], 0)
	}
	return out
}

// mean is a mean of observations that decay, drawn to a prior of a few observations.
type mean struct {
	sum, weight float64
	at          time.Time
}

func (m *mean) observe(now time.Time, v float64) {
	if keep := m.keep(now); keep < 1 {
		m.sum, m.weight = m.sum*keep, m.weight*keep
	}
	if now.After(m.at) {
		m.at = now
	}
	m.sum, m.weight = m.sum+v, m.weight+1
}

// value returns the mean, with the prior as priorObservations observations.
func (m *mean) value(now time.Time, prior, priorObservations float64) float64 {
	keep := m.keep(now)
	return (m.sum*keep + prior*priorObservations) / (m.weight*keep + priorObservations)
}

// keep returns the share of their weight that observations have kept since the last one.
func (m *mean) keep(now time.Time) float64 {
	if m.at.IsZero() || !now.After(m.at) {
		return 1
	}
	return math.Exp(-now.Sub(m.at).Seconds() / memory.Seconds())
}
