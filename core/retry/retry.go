// Package retry bounds retries to a share of the requests, so that a failure
// is not made worse by the load of its retries.
package retry

import "sync"

// Shares and bounds of a budget, in retries.
const (
	defaultPerRequest = 0.1
	defaultCapacity   = 50.0
	defaultInitial    = 20.0
)

// Budget counts what may still be retried. The zero value allows a few
// retries. It is safe for concurrent use.
type Budget struct {
	// PerRequest is the share of retries in requests; 0 means a default.
	PerRequest  float64
	mu          sync.Mutex
	initialized bool
	left        float64
	capacity    float64
}

// newBudget returns a budget that may save up most retries and starts with first.
func newBudget(perRequest, most, first float64) *Budget {
	return &Budget{PerRequest: perRequest, initialized: true, left: min(first, most), capacity: most}
}

// setCapacity sets the number of retries that may be saved up.
func (b *Budget) setCapacity(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = most
	b.left = min(b.left, most)
}

// Deposit adds the share of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	b.left = min(b.left+b.PerRequest, b.capacity)
}

// Withdraw takes one retry, if there is one left.
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

// Left returns the number of retries that may be taken now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	return b.left
}

func (b *Budget) init() {
	if !b.initialized {
		b.initialized, b.left, b.capacity = true, defaultInitial, defaultCapacity
		if b.PerRequest == 0 {
			b.PerRequest = defaultPerRequest
		}
	}
}
