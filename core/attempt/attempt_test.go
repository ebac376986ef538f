package attempt

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts: "begin SECOND" is the moment before the first write; the
// deadline is at second 10.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		start := time.Unix(0, 0)
		drained := false
		a := &Attempt{Deadline: start.Add(10 * time.Second), Guard: func(time.Time) error {
			if drained {
				return errors.New("drained")
			}
			return nil
		}}
		return func(args []string) []string {
			switch args[0] {
			case "begin":
				var second int
				_, _ = fmt.Sscan(args[1], &second)
				if err := a.Begin(start.Add(time.Duration(second) * time.Second)); err != nil {
					return []string{err.Error()}
				}
			case "drain":
				drained = true
			case "revoke":
				return []string{fmt.Sprint(a.Revoke())}
			case "refused":
				a.MarkRefused()
			case "answered":
				a.MarkCompleted()
			}
			return []string{string(a.RunState())}
		}
	})
}
