package freshness

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts: an instance with the local peer "b" and the reader "c" in another
// data centre. Times are in milliseconds since its start.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		start := time.Unix(1000, 0)
		f := &Freshness{Started: start}
		scope := Scope{Local: []string{"b"}, Readers: map[string][]string{"other": {"c"}}}
		at := func(s string) time.Time {
			ms, _ := strconv.Atoi(s)
			return start.Add(time.Duration(ms) * time.Millisecond)
		}
		return func(args []string) []string {
			switch args[0] {
			case "prove":
				f.RecordProof(at(args[1]))
			case "down":
				f.Receive(at(args[1]), args[2], Report{ProofAge: -1, Down: true, DataCentreDown: true}, 5)
			case "up":
				f.Receive(at(args[1]), args[2], Report{Next: 9, ProofAge: 0}, 5)
			case "proof":
				// proof TIME PEER NEXT AGE: this instance has read up to 5.
				next, _ := strconv.ParseUint(args[3], 10, 64)
				age, _ := time.ParseDuration(args[4])
				f.Receive(at(args[1]), args[2], Report{Next: next, ProofAge: age}, 5)
			case "judge":
				// Judged at the first time, looked at at the second.
				return []string{f.Evaluate(at(args[1]), scope).Status(at(args[2])).String()}
			case "report":
				r := f.Report(at(args[1]), 5, scope)
				return []string{fmt.Sprintf("down=%t data-centre=%t all=%t", r.Down, r.DataCentreDown, r.AllDown)}
			}
			return nil
		}
	})
}
