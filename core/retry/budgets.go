package retry

import "sync"

// Shares of what all instances may repeat.
const (
	// used is the part of the allowed repeats that the budgets give out. The rest
	// covers what a process had spent before it was restarted.
	used = 0.8
	// assumedMembers is the number of instances that share the slack until more
	// are known.
	assumedMembers = 12
	// firstRetries is what a budget starts with. A process that is restarted
	// doesn't know what it spent before.
	firstRetries = 1.0
	// leastSaved lets the share of the requests be spent where the slack is thin.
	leastSaved = 1.0
	// leastPerRequest keeps the default share of a Budget from being used.
	leastPerRequest = 0.001
)

// Budgets holds this instance's part of the retries that all instances together
// may send to each service. The exported fields must be set before use. It is
// safe for concurrent use.
type Budgets struct {
	// Share is the allowed number of retries for each request of a service, and
	// Slack what is allowed on top, over all instances.
	Share, Slack float64

	mu        sync.Mutex
	byService map[string]*Budget
	members   int
}

// Service returns the budget of a service.
func (b *Budgets) Service(name string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byService[name]
	if !ok {
		if b.byService == nil {
			b.byService = map[string]*Budget{}
		}
		budget = newBudget(max(b.Share*used, leastPerRequest), b.most(), firstRetries)
		b.byService[name] = budget
	}
	return budget
}

// SetMembers takes the number of instances that share the slack.
func (b *Budgets) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == b.members {
		return
	}
	b.members = n
	for _, budget := range b.byService {
		budget.bound(b.most())
	}
}

// most is the number of retries that this instance may save up for a service.
func (b *Budgets) most() float64 {
	return max(leastSaved, b.Slack*used/float64(max(b.members, assumedMembers)))
}

// Left returns the number of retries that may be taken now, by service.
func (b *Budgets) Left() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]float64{}
	for name, budget := range b.byService {
		out[name] = budget.Left()
	}
	return out
}
