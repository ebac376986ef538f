package statedlimit

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata. Times are in milliseconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		var l Limit
		return func(args []string) []string {
			rate, err := strconv.ParseFloat(args[3], 64)
			s := Statement{Limited: err == nil, Rate: rate, SentAt: at(args[1]), ReceivedAt: at(args[2])}
			change := map[Change]string{None: "none", Updated: "updated", Urgent: "urgent"}[l.Apply(s.ReceivedAt, s)]
			if !l.Limited {
				return []string{change + " unlimited"}
			}
			return []string{fmt.Sprintf("%s %v", change, l.Rate)}
		}
	})
}

func at(text string) time.Time {
	ms, _ := strconv.ParseInt(text, 10, 64)
	return time.UnixMilli(1_000_000 + ms)
}
