package quota

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts: a limit of 10 a second, bursts of 20 and 8 at once, for three
// instances; "grant MILLISECOND MEMBER TOKENS SLOTS HELD".
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		q := &Quota{}
		start := time.Unix(1000, 0)
		return func(args []string) []string {
			n := make([]int, len(args))
			for i := range args {
				n[i], _ = strconv.Atoi(args[i])
			}
			now := start.Add(time.Duration(n[1]) * time.Millisecond)
			if args[0] == "before" {
				q.NotBefore = now
				return nil
			}
			l := q.Grant(now, args[2], 3, Limit{Rate: 10, Burst: 20, Slots: 8}, Want{n[3], n[4], n[5]})
			return []string{fmt.Sprintf("tokens=%d slots=%d wait=%s", l.Tokens, l.Slots, l.Wait.Round(time.Millisecond))}
		}
	})
}
