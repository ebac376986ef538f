package retry

import "sync"

// Shares of what all instances may repeat.
const (
	// usedShare is the part of the allowed repeats that the budgets give out. The rest
	// covers what a process had spent before it was restarted.
	usedShare = 0.8
	// minInstances is the number of instances that share the slack until more
	// are known.
	minInstances = 12
	// initialRetries is what a budget starts with. A process that is restarted
	// doesn't know what it spent before.
	initialRetries = 1.0
	// minCapacity lets the share of the requests be spent where the slack is thin.
	minCapacity = 1.0
	// minPerRequest keeps the default share of a Budget from being used.
	minPerRequest = 0.001
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
	instances int
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
		budget = newBudget(max(b.Share*usedShare, minPerRequest), b.capacity(), initialRetries)
		b.byService[name] = budget
	}
	return budget
}

// SetInstances takes the number of instances that share the slack.
func (b *Budgets) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == b.instances {
		return
	}
	b.instances = n
	for _, budget := range b.byService {
		budget.setCapacity(b.capacity())
	}
}

// capacity is the number of retries that this instance may save up for a service.
func (b *Budgets) capacity() float64 {
	return max(minCapacity, b.Slack*usedShare/float64(max(b.instances, minInstances)))
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
