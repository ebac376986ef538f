package retrypolicy

import (
	"fmt"
	"strconv"
	"testing"

	"crocusfold.dev/core/attempt"
	"crocusfold.dev/script"
)

// TestScripts runs the commands: budget RETRIES; limits ATTEMPTS RUNS; failed
// RUN-STATE [unreached] [expired] [withdrawn].
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		var p Policy
		var limits Limits
		budget := 0
		withdraw := func() bool {
			budget--
			return budget >= 0
		}
		return func(args []string) []string {
			switch args[0] {
			case "budget":
				budget, _ = strconv.Atoi(args[1])
			case "limits":
				limits.Attempts, _ = strconv.Atoi(args[1])
				limits.Runs, _ = strconv.Atoi(args[2])
			case "failed":
				f := Failure{RunState: attempt.RunState(args[1]), Reached: true}
				for _, arg := range args[2:] {
					switch arg {
					case "unreached":
						f.Reached = false
					case "expired":
						f.Expired = true
					case "withdrawn":
						f.Withdrawn = true
					}
				}
				return []string{format(p.RecordFailure(f, limits, withdraw))}
			}
			return nil
		}
	})
}

func format(d Decision) string {
	switch d := d.(type) {
	case GiveUp:
		return fmt.Sprintf("give up, %s, %s", d.RunState, d.Reason)
	default:
		return "retry"
	}
}
