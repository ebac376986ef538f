package shutdown

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata. Times are durations since the start of a case.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		var s Shutdown
		var d Durations
		start := time.Unix(1000, 0)
		duration := func(text string) time.Duration {
			out, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			return out
		}
		return func(args []string) []string {
			now := start.Add(duration(args[1]))
			switch args[0] {
			case "end":
				s.End = now
			case "late":
				s.LateFrom = now
			case "took":
				d.Observe(now, args[2], duration(args[3]))
			case "longest":
				return []string{d.Longest(args[2]).String()}
			case "accepts":
				r := Request{Repeatable: strings.HasPrefix(args[2], "repeatable"), Streams: strings.HasSuffix(args[2], "stream"), TimeLeft: duration(args[3]), Longest: d.Longest("r")}
				return []string{fmt.Sprint(s.Accepts(now, r))}
			case "deadline":
				return []string{s.Deadline(now).Sub(start).String()}
			}
			return nil
		}
	})
}
