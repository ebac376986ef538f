package retry

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"crocusfold.dev/script"
)

// TestBudgets runs the commands "instances - COUNT", "slack - COUNT", "request SERVICE COUNT"
// and "retry SERVICE COUNT", which prints how many of the retries were allowed.
func TestBudgets(t *testing.T) {
	script.Run(t, "testdata/budgets.txt", func(*testing.T) func([]string) []string {
		b := &Budgets{Share: 0.2, Slack: 60}
		return func(args []string) []string {
			n, _ := strconv.Atoi(args[2])
			switch args[0] {
			case "instances":
				b.SetInstances(n)
			case "slack":
				b.SetBounds(0.2, float64(n))
			case "request":
				for range n {
					b.Service(args[1]).Deposit()
				}
			case "retry":
				return []string{strconv.Itoa(withdraw(b, args[1], n))}
			}
			return nil
		}
	})
}

// withdraw returns how many of n retries the budget of a service allows.
func withdraw(b *Budgets, service string, n int) int {
	allowed := 0
	for range n {
		if b.Service(service).Withdraw() {
			allowed++
		}
	}
	return allowed
}

// TestBoundOverAllInstances checks that the instances together stay within the
// share plus the slack. In fleets of several sizes, the budgets are filled, and
// then each request fails and is retried up to three times.
func TestBoundOverAllInstances(t *testing.T) {
	const share, slack = 0.2, 430.0
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, instances := range []int{1, 8, 24, 88, 195, 370} {
		requests, retries := 0, 0
		for range instances {
			b := &Budgets{Share: share, Slack: slack}
			b.SetInstances(instances)
			for range 1000 {
				b.Service("a").Deposit()
			}
			failed := rnd.IntN(20)
			requests += failed
			for range failed {
				b.Service("a").Deposit()
				retries += withdraw(b, "a", 3)
			}
		}
		if allowed := slack + share*float64(requests); float64(retries) > allowed {
			t.Errorf("%d instances: %d retries of %d requests, want at most %.0f", instances, retries, requests, allowed)
		}
	}
}
