package retry

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"crocusfold.dev/script"
)

// TestBudgets: "members - COUNT", "request SERVICE COUNT", and "repeat
// SERVICE COUNT", which shows how many were allowed.
func TestBudgets(t *testing.T) {
	script.Run(t, "testdata/budgets.txt", func(*testing.T) func([]string) []string {
		b := &Budgets{Share: 0.2, Slack: 60}
		return func(args []string) []string {
			n, _ := strconv.Atoi(args[2])
			switch args[0] {
			case "members":
				b.SetInstances(n)
			case "request":
				for range n {
					b.Service(args[1]).Deposit()
				}
			case "repeat":
				return []string{strconv.Itoa(repeats(b, args[1], n))}
			}
			return nil
		}
	})
}

func repeats(b *Budgets, service string, tries int) int {
	allowed := 0
	for range tries {
		if b.Service(service).Withdraw() {
			allowed++
		}
	}
	return allowed
}

// TestInstancesTogetherKeepTheBound lets every request of a window fail at fleets
// of any size, after a calm time in which all that may be saved was saved.
func TestInstancesTogetherKeepTheBound(t *testing.T) {
	const share, slack = 0.2, 430.0
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, instances := range []int{1, 8, 24, 88, 195, 370} {
		sent, repeated := 0, 0
		for range instances {
			b := &Budgets{Share: share, Slack: slack}
			b.SetInstances(instances)
			for range 1000 {
				b.Service("a").Deposit()
			}
			requests := rnd.IntN(20)
			sent += requests
			for range requests {
				b.Service("a").Deposit()
				repeated += repeats(b, "a", 3)
			}
		}
		if allowed := slack + share*float64(sent); float64(repeated) > allowed {
			t.Errorf("%d instances repeated %d of %d requests; %.0f are allowed", instances, repeated, sent, allowed)
		}
	}
}
