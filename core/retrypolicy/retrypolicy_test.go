package retrypolicy

import (
	"fmt"
	"strconv"
	"testing"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/script"
)

// TestScripts reads: budget N; allow TRIES RUNS; failed RUN [unreached] [expired] [paid].
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		var tr Policy
		var a Limits
		budget := 0
		withdraw := func() bool {
			budget--
			return budget >= 0
		}
		return func(args []string) []string {
			switch args[0] {
			case "budget":
				budget, _ = strconv.Atoi(args[1])
			case "allow":
				a.Attempts, _ = strconv.Atoi(args[1])
				a.Runs, _ = strconv.Atoi(args[2])
			case "failed":
				f := Failure{RunState: attempt.RunState(args[1]), Reached: true}
				for _, arg := range args[2:] {
					switch arg {
					case "unreached":
						f.Reached = false
					case "expired":
						f.Expired = true
					case "paid":
						f.Withdrawn = true
					}
				}
				return []string{show(tr.RecordFailure(f, a, withdraw))}
			}
			return nil
		}
	})
}

func show(d Decision) string {
	switch d := d.(type) {
	case GiveUp:
		return fmt.Sprintf("give up, %s, %s", d.RunState, d.Reason)
	default:
		return "again"
	}
}
