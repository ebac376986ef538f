package slowstart

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the commands observe TIME INCARNATION RUNNING, mark-cold TIME,
// not-before TIME, permit TIME ID [suspect], release ID and limit TIME, which prints
// the limit and whether the upstream is warm. Times are in seconds; the cold limit
// is 2, the warm limit 12.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		s := &SlowStart{}
		at := func(arg string) time.Time {
			sec, _ := strconv.Atoi(arg)
			return time.Unix(1000+int64(sec), 0)
		}
		return func(args []string) []string {
			switch args[0] {
			case "observe":
				running, _ := strconv.Atoi(args[3])
				s.Observe(at(args[1]), args[2], running)
			case "mark-cold":
				s.MarkCold(at(args[1]))
			case "not-before":
				s.NotBefore = at(args[1])
			case "release":
				s.Release(args[1])
			case "permit":
				return []string{fmt.Sprint(s.Permit(at(args[1]), args[2], len(args) > 3, 2, 12))}
			case "limit":
				return []string{fmt.Sprint(s.Limit(at(args[1]), 2, 12), " ", s.Warm(at(args[1])))}
			}
			return nil
		}
	})
}
