package membership

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts: an instance is a number, 0 being this one; times are in seconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		m := &Membership{Self: entry("0", "5", "alive")}
		return func(args []string) []string {
			switch args[0] {
			case "merge":
				return []string{fmt.Sprint(m.Merge(at(args[1]), entry(args[2], args[3], args[4])))}
			case "silence":
				return []string{fmt.Sprint(m.MarkUnreachable(at(args[1]), address(args[2])))}
			case "leave":
				m.Leave(at(args[1]))
			case "sweep":
				m.Sweep(at(args[1]))
			case "since":
				return show(m.ChangedSince(at(args[1])))
			case "all":
				return show(m.ChangedSince(time.Time{}))
			case "sharing":
				return []string{strconv.Itoa(len(m.LimitSharers(at(args[1]))))}
			case "living":
				return []string{strconv.Itoa(m.AliveCount())}
			case "self":
				return show([]Entry{m.Self})
			}
			return nil
		}
	})
}

func at(s string) time.Time {
	n, _ := strconv.Atoi(s)
	return time.Unix(int64(n), 0)
}

func address(s string) netip.AddrPort { return netip.MustParseAddrPort("10.0.0." + s + ":1") }

func entry(name, revision, status string) Entry {
	n, _ := strconv.ParseUint(revision, 10, 64)
	return Entry{
		Name: name, Address: address(name), Revision: n,
		Status: map[string]Status{"alive": Alive, "silent": Unreachable, "left": Left}[status],
	}
}

func show(entries []Entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, fmt.Sprintf("%s@%d %s", e.Name, e.Revision, [...]string{"alive", "silent", "left"}[e.Status]))
	}
	sort.Strings(out)
	return out
}
