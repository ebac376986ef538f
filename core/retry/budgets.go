package retry

import "sync"

const (
	// usedShare is the part of the allowed retries that the budgets give out. The
	// rest covers the retries that processes had sent before they were restarted.
	usedShare = 0.8
	// minInstances is the smallest number of instances among which the slack is
	// divided. It bounds an instance's part until it has discovered the others.
	minInstances = 12
	// initialRetries is what a budget starts with. It is low, since a restarted
	// process doesn't know how many retries it sent before.
	initialRetries = 1.0
	// minCapacity is the smallest capacity of a budget. With less than one retry, the
	// share of the requests could not be used when many instances divide the slack.
	minCapacity = 1.0
	// minPerRequest keeps PerRequest above 0, which stands for a Budget's default.
	minPerRequest = 0.001
)

// Budgets holds this instance's part of the retries that all instances together
// may send to each service. The exported fields must be set before use. It is
// safe for concurrent use.
type Budgets struct {
	// Share is the number of retries that are allowed per request of a service, and
	// Slack the number that is allowed on top, over all instances. SetBounds changes them.
	Share, Slack float64

	mu        sync.Mutex
	byService map[string]*Budget
	instances int
}

// Service returns the budget of a service, and creates it at the first call.
func (b *Budgets) Service(name string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byService[name]
	if !ok {
		if b.byService == nil {
			b.byService = map[string]*Budget{}
		}
		budget = newBudget(b.perRequest(), b.capacity(), initialRetries)
		b.byService[name] = budget
	}
	return budget
}

// SetInstances sets the number of instances among which the slack is divided.
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

// SetBounds changes Share and Slack.
func (b *Budgets) SetBounds(share, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share == b.Share && slack == b.Slack {
		return
	}
	b.Share, b.Slack = share, slack
	for _, budget := range b.byService {
		budget.setPerRequest(b.perRequest())
		budget.setCapacity(b.capacity())
	}
}

// perRequest returns the number of retries that each request adds. The caller must hold
// b.mu.
func (b *Budgets) perRequest() float64 { return max(b.Share*usedShare, minPerRequest) }

// Instances returns the number of instances among which the slack is divided.
func (b *Budgets) Instances() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.instances, minInstances)
}

// capacity returns the number of retries that the budget of each service holds at
// most. The caller must hold b.mu.
func (b *Budgets) capacity() float64 {
	return max(minCapacity, b.Slack*usedShare/float64(max(b.instances, minInstances)))
}

// Left returns the number of retries that may be withdrawn now, by service.
func (b *Budgets) Left() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]float64{}
	for name, budget := range b.byService {
		out[name] = budget.Left()
	}
	return out
}
