package peering

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/core/retry"
	"crocusfold.dev/script"
)

// The users' bound on the retries of a service over all instances in retryWindow.
const (
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	retrySlack  = 216.0
)

// retryModel is a fleet in which each instance divides the slack by the instances that it knows,
// and in which each request is sent up to four times while all replicas fail.
type retryModel struct {
	*fleet
	// rate is the number of requests per second of one instance.
	rate              float64
	budgets           map[uint64]*retry.Budgets
	requests, retries []time.Time
}

// TestRetriesOverAllInstances checks the users' bound in scripts: the commands of TestFleet, and
//
//	rate NUMBER: the requests per second of each instance
//	serve TIME, fail TIME: let time pass while all replicas serve, or fail
//	within-bound: whether no window has more retries than are allowed then
func TestRetriesOverAllInstances(t *testing.T) {
	script.Run(t, "testdata/retries/*.txt", func(t *testing.T) func([]string) []string {
		m := &retryModel{budgets: map[uint64]*retry.Budgets{}, fleet: &fleet{t: t, random: rand.New(rand.NewPCG(1, 2)), now: time.UnixMilli(1_000_000)}}
		return func(args []string) []string {
			switch args[0] {
			case "rate":
				m.rate, _ = strconv.ParseFloat(args[1], 64)
			case "serve", "fail":
				m.play(duration(args[1]), args[0] == "fail")
			case "within-bound":
				left := m.leastLeft()
				t.Logf("%d requests, %d retries, at least %.0f more allowed in each window", len(m.requests), len(m.retries), left)
				return []string{strconv.FormatBool(left >= 0)}
			default:
				return m.do(args)
			}
			return nil
		}
	})
}

func (m *retryModel) play(d time.Duration, failing bool) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.run(step)
		for _, n := range m.nodes {
			if n.up && !n.frozen && m.random.Float64() < m.rate*step.Seconds() {
				m.request(n, failing)
			}
		}
	}
}

func (m *retryModel) request(n *node, failing bool) {
	b, ok := m.budgets[n.process]
	if !ok {
		b = &retry.Budgets{Share: retryShare, Slack: retrySlack}
		m.budgets[n.process] = b
	}
	b.SetInstances(n.LimitGroup(m.now).Size())
	budget := b.Service("a")
	budget.Deposit()
	m.requests = append(m.requests, m.now)
	for range 3 {
		if !failing || !budget.Withdraw() {
			return
		}
		m.retries = append(m.retries, m.now)
	}
}

// leastLeft returns how many more retries are allowed in the window with the fewest left. The
// requests of the window, of the one before it or of the one half a window before it count.
func (m *retryModel) leastLeft() float64 {
	least := retrySlack
	for _, from := range m.retries {
		requests := 0
		for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, inWindow(m.requests, from.Add(-back)))
		}
		least = min(least, retryShare*float64(requests)+retrySlack-float64(inWindow(m.retries, from)))
	}
	return least
}

func inWindow(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}
