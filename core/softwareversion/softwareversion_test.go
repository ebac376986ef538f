package softwareversion

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata. Times are in seconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		h := &History{}
		return func(args []string) []string {
			seconds, _ := strconv.Atoi(args[1])
			at := time.Unix(1000+int64(seconds), 0)
			switch args[0] {
			case "see":
				h.See(at, args[2], strings.Trim(args[3], `"`))
			case "cover":
				h.Cover(at)
			case "uncover":
				h.Uncover()
			case "sweep":
				h.Sweep(at)
			case "only":
				version, ok := h.Only(args[2], at)
				return []string{fmt.Sprintf("%q %v", version, ok)}
			case "recent":
				var out []string
				for _, s := range h.Recent(args[2], at) {
					out = append(out, fmt.Sprint(s.Version, " ", s.At.Unix()-1000))
				}
				return out
			}
			return nil
		}
	})
}
