package lease

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts: times are in milliseconds; a grant lasts for 1500 ms.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		l := &Lease{}
		c, h := &Candidacy{}, &RelayedStatus{}
		at := func(s string) time.Time {
			ms, _ := strconv.ParseInt(s, 10, 64)
			return time.UnixMilli(1_000_000 + ms)
		}
		return func(args []string) []string {
			switch args[0] {
			case "word":
				// word HEARD PROCESS STAMP AGE
				process, _ := strconv.ParseUint(args[2], 10, 64)
				stamp, _ := time.ParseDuration(args[3])
				age, _ := time.ParseDuration(args[4])
				said, news := h.Receive(at(args[1]), process, stamp, age)
				return []string{fmt.Sprint(said.Sub(at("0")).Milliseconds(), " ", news)}
			case "quiet":
				l.QuietPeriod, _ = time.ParseDuration(args[1])
			case "renew":
				generation, _ := strconv.ParseUint(args[2], 10, 64)
				l.Renew(at(args[1]), 1500*time.Millisecond, Grant{Generation: generation, Held: args[3] == "held"})
			case "drop":
				l.Release()
			case "token":
				token, ok := l.Token(at(args[1]))
				return []string{fmt.Sprint(token, " ", ok)}
			case "heard":
				c.ObserveLeader(at(args[1]))
			case "released":
				c.LeaderReleased(at(args[1]))
			case "alone":
				c.MarkIsolated(at(args[1]))
			case "among":
				c.MarkConnected()
			case "apply":
				rank, _ := strconv.Atoi(args[2])
				return []string{fmt.Sprint(c.ShouldApply(at(args[1]), rank))}
			}
			return nil
		}
	})
}
