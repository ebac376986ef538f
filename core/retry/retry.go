// Package retry bounds retries to a share of the requests, so that a failure
// is not made worse by the load of its retries.
package retry

import "sync"

// Shares and bounds of a budget, in retries.
const (
	perRequest = 0.1
	most       = 50.0
	first      = 20.0
)

// Budget counts what may still be retried. The zero value allows a few
// retries. It is safe for concurrent use.
type Budget struct {
	// PerRequest is the share of retries in requests; 0 means a default.
	PerRequest float64
	mu         sync.Mutex
	started    bool
	left       float64
	most       float64
}

// newBudget returns a budget that may save up most retries and starts with first.
func newBudget(perRequest, most, first float64) *Budget {
	return &Budget{PerRequest: perRequest, started: true, left: min(first, most), most: most}
}

// bound sets the number of retries that may be saved up.
func (b *Budget) bound(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.left = min(b.left, most)
}

// Deposit adds the share of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.left = min(b.left+b.PerRequest, b.most)
}

// Withdraw takes one retry, if there is one left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
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
	b.start()
	return b.left
}

func (b *Budget) start() {
	if !b.started {
		b.started, b.left, b.most = true, first, most
		if b.PerRequest == 0 {
			b.PerRequest = perRequest
		}
	}
}
