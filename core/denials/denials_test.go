package denials

import (
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata. The grantors of each replica are a, b and c, and
// the instance itself is c. Times are in milliseconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		d := &Denials{}
		return func(args []string) []string { return do(d, args) }
	})
}

var addresses = map[string]netip.AddrPort{
	"a": netip.MustParseAddrPort("10.0.0.1:1"), "b": netip.MustParseAddrPort("10.0.0.2:1"), "c": netip.MustParseAddrPort("10.0.0.3:1"),
}

func do(d *Denials, args []string) []string {
	now := time.UnixMilli(1_000_000 + int64(number(args[1])))
	all := []netip.AddrPort{addresses["a"], addresses["b"], addresses["c"]}
	switch args[0] {
	case "askable":
		// askable MS REPLICA PRIORITY.
		var names []string
		for _, g := range d.Askable(now, addresses["c"], args[2], all, number(args[3])) {
			for name, address := range addresses {
				if address == g {
					names = append(names, name)
				}
			}
		}
		return []string{strings.Join(names, " ")}
	case "denied":
		// denied MS REPLICA GRANTOR PRIORITY WAIT-MS.
		d.Denied(now, args[2], addresses[args[3]], number(args[4]), time.Duration(number(args[5]))*time.Millisecond)
	case "failed":
		d.Failed(now, addresses[args[2]])
	case "wait":
		return []string{strconv.FormatInt(d.Wait(now, args[2], all, number(args[3])).Milliseconds(), 10)}
	case "wait-without-grantors":
		return []string{strconv.FormatInt(d.Wait(now, args[2], nil, 0).Milliseconds(), 10)}
	case "sweep":
		d.Sweep(now)
		return []string{strconv.Itoa(len(d.denied) + len(d.failedUntil))}
	}
	return nil
}

func number(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}
