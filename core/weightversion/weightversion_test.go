package weightversion

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata. Times are in seconds, and a version is in force after 5 s:
//
//	named VERSION TIME    the operators named the version
//	assume VERSION TIME   the same before the instance started, at an assumed time
//	learn VERSION TIME    a peer says when that was
//	in-force TIME         prints the version that is in force, and the newest one
//	known                 prints the versions whose time is known
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		h := &History{}
		at := func(text string) time.Time {
			seconds, _ := strconv.ParseFloat(text, 64)
			return time.Unix(1000, int64(seconds*1e9))
		}
		return func(args []string) []string {
			switch args[0] {
			case "named", "assume", "learn":
				version, _ := strconv.Atoi(args[1])
				n := Named{version, at(args[2]), args[0] != "assume"}
				if args[0] == "learn" {
					h.Learn(n)
				} else {
					h.Add(n)
				}
			case "in-force":
				return []string{fmt.Sprintf("%d of %d", h.InForce(at(args[1]), 5*time.Second), h.Newest().Version)}
			case "known":
				var out []string
				for _, n := range h.Known() {
					out = append(out, fmt.Sprintf("%d at %.1f", n.Version, n.At.Sub(at("0")).Seconds()))
				}
				return out
			}
			return nil
		}
	})
}
