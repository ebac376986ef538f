package suspect

import (
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts strikes contents, named by one word each.
func TestScripts(t *testing.T) {
	names := map[Standing]string{Innocent: "innocent", Suspected: "suspected", Convicted: "convicted"}
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		s := &Suspect{}
		now := time.Unix(1000, 0)
		return func(args []string) []string {
			c := NewContent([]byte(args[1]))
			switch args[0] {
			case "strike":
				s.Apply(now, Strike{Content: c, Isolated: len(args) > 2})
			case "clear":
				s.Apply(now, Strike{Content: c, Cleared: true})
			case "later":
				d, _ := time.ParseDuration(args[1])
				now = now.Add(d)
			case "merge":
				left, _ := time.ParseDuration(args[2])
				s.Merge(now, []Conviction{{c, left}})
			case "flood":
				for i := range 2 * maxSuspects {
					s.Apply(now, Strike{Content: NewContent([]byte{byte(i), byte(i >> 8), byte(i >> 16)})})
				}
				if n := len(s.strikes); n > maxSuspects {
					return []string{"too many"}
				}
			case "standing":
				return []string{names[s.Standing(now, c)]}
			}
			return nil
		}
	})
}
