package quarantine

import (
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts strikes contents, named by one word each.
func TestScripts(t *testing.T) {
	names := map[Status]string{Clean: "innocent", Suspected: "suspected", Banned: "convicted"}
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		s := &Quarantine{}
		now := time.Unix(1000, 0)
		return func(args []string) []string {
			c := NewFingerprint([]byte(args[1]))
			switch args[0] {
			case "strike":
				s.Apply(now, Outcome{Fingerprint: c, Isolated: len(args) > 2})
			case "clear":
				s.Apply(now, Outcome{Fingerprint: c, Cleared: true})
			case "later":
				d, _ := time.ParseDuration(args[1])
				now = now.Add(d)
			case "merge":
				left, _ := time.ParseDuration(args[2])
				s.Merge(now, []Ban{{c, left}})
			case "flood":
				for i := range 2 * maxRecords {
					s.Apply(now, Outcome{Fingerprint: NewFingerprint([]byte{byte(i), byte(i >> 8), byte(i >> 16)})})
				}
				if n := len(s.records); n > maxRecords {
					return []string{"too many"}
				}
			case "standing":
				return []string{names[s.Status(now, c)]}
			}
			return nil
		}
	})
}
