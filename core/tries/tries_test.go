package tries

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
		var tr Tries
		var a Allowed
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
				a.Tries, _ = strconv.Atoi(args[1])
				a.Runs, _ = strconv.Atoi(args[2])
			case "failed":
				f := Failure{Run: attempt.Run(args[1]), Reached: true}
				for _, arg := range args[2:] {
					switch arg {
					case "unreached":
						f.Reached = false
					case "expired":
						f.Expired = true
					case "paid":
						f.Paid = true
					}
				}
				return []string{show(tr.Failed(f, a, withdraw))}
			}
			return nil
		}
	})
}

func show(d Decision) string {
	switch d := d.(type) {
	case GiveUp:
		return fmt.Sprintf("give up, %s, %s", d.Run, d.Why)
	default:
		return "again"
	}
}
