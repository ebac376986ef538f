// Package retry bounds retries to a share of the requests, so that the load of
// retries does not make a failure worse.
package retry

import "sync"

// Defaults of a Budget, in retries.
const (
	defaultPerRequest = 0.1
	defaultCapacity   = 50.0
	defaultInitial    = 20.0
)

// Budget is a token bucket of retries that is filled by requests. The zero value
// has the defaults. It is safe for concurrent use.
type Budget struct {
	// PerRequest is the number of retries that each request adds; 0 means 0.1. It
	// must be set before use.
	PerRequest  float64
	mu          sync.Mutex
	initialized bool
	left        float64
	capacity    float64
}

// newBudget returns a budget that holds at most capacity retries, and initially
// the smaller of initial and capacity.
func newBudget(perRequest, capacity, initial float64) *Budget {
	return &Budget{PerRequest: perRequest, initialized: true, left: min(initial, capacity), capacity: capacity}
}

// setCapacity sets the number of retries that the budget holds at most, and drops
// those beyond it.
func (b *Budget) setCapacity(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.left = min(b.left, capacity)
}

// setPerRequest sets the number of retries that each further request adds.
func (b *Budget) setPerRequest(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.PerRequest = n
}

// Deposit adds PerRequest retries, for one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	b.left = min(b.left+b.PerRequest, b.capacity)
}

// Withdraw takes one retry from the budget. It returns false if there is none left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left returns the number of retries that may be withdrawn now, with fractions.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	return b.left
}

// init applies the defaults to a zero value. The caller must hold b.mu.
func (b *Budget) init() {
	if !b.initialized {
		b.initialized, b.left, b.capacity = true, defaultInitial, defaultCapacity
		if b.PerRequest == 0 {
			b.PerRequest = defaultPerRequest
		}
	}
}
