package lease

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases of testdata. Times are in milliseconds, and a grant lasts for
// 1500 ms.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		l := &Lease{}
		c, rs := &Candidacy{}, &RelayedStatus{}
		at := func(s string) time.Time {
			ms, _ := strconv.ParseInt(s, 10, 64)
			return time.UnixMilli(1_000_000 + ms)
		}
		return func(args []string) []string {
			switch args[0] {
			case "receive":
				// receive TIME PROCESS STAMP AGE: when the newest status was sent, and
				// whether the received one is the newest.
				process, _ := strconv.ParseUint(args[2], 10, 64)
				stamp, _ := time.ParseDuration(args[3])
				age, _ := time.ParseDuration(args[4])
				sent, newest := rs.Receive(at(args[1]), process, stamp, age)
				return []string{fmt.Sprint(sent.Sub(at("0")).Milliseconds(), " ", newest)}
			case "quiet-period":
				l.QuietPeriod, _ = time.ParseDuration(args[1])
			case "renew":
				// renew TIME [ERA/]GENERATION held|none
				era, generation, ok := strings.Cut(args[2], "/")
				if !ok {
					era, generation = "0", args[2]
				}
				e, _ := strconv.ParseUint(era, 10, 64)
				n, _ := strconv.ParseUint(generation, 10, 64)
				l.Renew(at(args[1]), 1500*time.Millisecond, Grant{Era: e, Generation: n, Held: args[3] == "held"})
			case "release":
				l.Release()
			case "token":
				token, ok := l.Token(at(args[1]))
				return []string{fmt.Sprint(token, " ", ok)}
			case "leader-seen":
				c.ObserveLeader(at(args[1]))
			case "leader-released":
				c.LeaderReleased(at(args[1]))
			case "isolated":
				c.MarkIsolated(at(args[1]))
			case "connected":
				c.MarkConnected()
			case "apply":
				rank, _ := strconv.Atoi(args[2])
				return []string{fmt.Sprint(c.ShouldApply(at(args[1]), rank))}
			}
			return nil
		}
	})
}
