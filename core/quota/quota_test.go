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
				q.HandoverUntil = now
				return nil
			}
			l := q.Grant(now, args[2], 3, Limit{Rate: 10, Burst: 20, Slots: 8}, Request{n[3], n[4], n[5]})
			return []string{fmt.Sprintf("tokens=%d slots=%d wait=%s", l.Tokens, l.Slots, l.Wait.Round(time.Millisecond))}
		}
	})
}

// TestNewOwnerBoundsTokens asks a new owner again and again before it knows what
// the one before it handed out. All it gives must stay within half a burst and
// the rate.
func TestNewOwnerBoundsTokens(t *testing.T) {
	start := time.Unix(1000, 0)
	q := &Quota{HandoverUntil: start.Add(time.Second)}
	total := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		total += q.Grant(now, "a", 3, Limit{Rate: 10, Burst: 20}, Request{Tokens: 5, Slots: 1}).Tokens
	}
	if most := 20/2 + 10; total > most {
		t.Errorf("%d tokens in the first second, more than %d", total, most)
	}
}
