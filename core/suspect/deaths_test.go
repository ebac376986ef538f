package suspect

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestDeaths: times are in seconds.
func TestDeaths(t *testing.T) {
	script.Run(t, "testdata/deaths/*.txt", func(*testing.T) func([]string) []string {
		d := &Deaths{}
		names := map[Content]string{}
		at := func(s string) time.Time {
			sec, _ := strconv.ParseInt(s, 10, 64)
			return time.Unix(1000+sec, 0)
		}
		content := func(s string) Content {
			c := NewContent([]byte(s))
			names[c] = s
			return c
		}
		return func(args []string) []string {
			switch args[0] {
			case "broke":
				d.Broke(at(args[1]), content(args[2]))
			case "hear":
				n, _ := strconv.Atoi(args[3])
				d.Hear(at(args[1]), content(args[2]), n)
			case "answered":
				d.Answered(content(args[1]))
			case "barred":
				return []string{fmt.Sprint(d.Barred(at(args[1]), content(args[2])))}
			case "told":
				var out []string
				for c, n := range d.Told(at(args[1])) {
					out = append(out, fmt.Sprintf("%s %d", names[c], n))
				}
				return out
			}
			return nil
		}
	})
}
