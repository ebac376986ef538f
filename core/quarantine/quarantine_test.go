package quarantine

import (
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs commands on fingerprints, each named by one word: crash NAME
// [isolated], clear NAME, merge NAME REMAINING, status NAME.
func TestScripts(t *testing.T) {
	names := map[Status]string{Clean: "clean", Suspected: "suspected", Banned: "banned"}
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		q := &Quarantine{}
		now := time.Unix(1000, 0)
		return func(args []string) []string {
			fp := NewFingerprint([]byte(args[1]))
			switch args[0] {
			case "crash":
				q.Apply(now, Outcome{Fingerprint: fp, Isolated: len(args) > 2})
			case "clear":
				q.Apply(now, Outcome{Fingerprint: fp, Cleared: true})
			case "later":
				d, _ := time.ParseDuration(args[1])
				now = now.Add(d)
			case "merge":
				remaining, _ := time.ParseDuration(args[2])
				q.Merge(now, []Ban{{fp, remaining}})
			case "flood":
				for i := range 2 * maxRecords {
					q.Apply(now, Outcome{Fingerprint: NewFingerprint([]byte{byte(i), byte(i >> 8), byte(i >> 16)})})
				}
				if n := len(q.records); n > maxRecords {
					return []string{"too many records"}
				}
			case "status":
				return []string{names[q.Status(now, fp)]}
			}
			return nil
		}
	})
}
