package limiter

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata; see there for the commands.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		l := &Limiter{}
		return func(args []string) []string { return do(l, args) }
	})
}

func do(l *Limiter, args []string) []string {
	now := time.UnixMilli(1_000_000).Add(millis(args[1]))
	rate, _ := strconv.ParseFloat(args[3], 64)
	fraction, _ := strconv.ParseFloat(args[4], 64)
	rank, _ := strconv.Atoi(args[5])
	s := Share{Replica: args[2], Rate: rate, Fraction: fraction, Rank: rank}
	switch args[0] {
	case "take":
		priority := 0
		if len(args) > 6 {
			priority, _ = strconv.Atoi(args[6])
		}
		if len(args) > 7 {
			s.Incarnation, _ = strconv.ParseInt(args[7], 10, 64)
		}
		wait, ok := l.Take(now, s, priority)
		if ok {
			return []string{"granted"}
		}
		return []string{strconv.FormatInt(wait.Round(time.Millisecond).Milliseconds(), 10)}
	case "press":
		if len(args) > 7 {
			s.Incarnation, _ = strconv.ParseInt(args[7], 10, 64)
		}
		n := 0
		for end := now.Add(millis(args[6])); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if _, ok := l.Take(now, s, 0); ok {
				n++
			}
		}
		return []string{strconv.Itoa(n)}
	case "contend":
		granted := [2]int{}
		for end := now.Add(millis(args[6])); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for priority := range 2 {
				if _, ok := l.Take(now, s, priority); ok {
					granted[priority]++
				}
			}
		}
		return []string{fmt.Sprintf("urgent %d, less urgent %d", granted[0], granted[1])}
	case "charge":
		l.Charge(now, s)
	}
	return nil
}

func millis(text string) time.Duration {
	n, _ := strconv.Atoi(text)
	return time.Duration(n) * time.Millisecond
}
