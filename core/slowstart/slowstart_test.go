package slowstart

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts: the cold limit is 2 and the warm limit 12; times are in seconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		r := &SlowStart{}
		at := func(s string) time.Time {
			sec, _ := strconv.Atoi(s)
			return time.Unix(1000+int64(sec), 0)
		}
		return func(args []string) []string {
			switch args[0] {
			case "observe":
				running, _ := strconv.Atoi(args[3])
				r.Observe(at(args[1]), args[2], running)
			case "chill":
				r.MarkCold(at(args[1]))
			case "before":
				r.NotBefore = at(args[1])
			case "release":
				r.Release(args[1])
			case "permit":
				return []string{fmt.Sprint(r.Permit(at(args[1]), args[2], len(args) > 3, 2, 12))}
			case "limit":
				return []string{fmt.Sprint(r.Limit(at(args[1]), 2, 12), " ", r.Warm(at(args[1])))}
			}
			return nil
		}
	})
}
