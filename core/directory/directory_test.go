package directory

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts: a part is id:tokens under the salt s; times are in milliseconds.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		d, follower := &Directory{}, &Directory{}
		spaces := map[string]StoreConfig{}
		now := at("0")
		return func(args []string) []string {
			switch args[0] {
			case "now":
				now = at(args[1])
			case "broken":
				var out []string
				for _, p := range d.StalledWrites(args[1]) {
					out = append(out, p.ID)
				}
				return out
			case "store":
				first, _ := time.ParseDuration(args[3])
				spaces[args[1]] = StoreConfig{Capacity: number(args[2]), TransferDelay: first}
				d.Configure(spaces)
			case "list":
				l := Listing{Epoch: uint64(number(args[2])), Last: uint64(number(args[3])), Held: map[Part]int{}, Partial: map[Part]Partial{}}
				for _, arg := range args[4:] {
					p, tokens := part(strings.TrimPrefix(arg, "?"))
					if strings.HasPrefix(arg, "?") {
						l.Partial[p] = Partial{Reserved: tokens}
					} else {
						l.Held[p] = tokens
					}
				}
				d.Replace(now, args[1], l)
			case "event":
				n := uint64(number(args[3]))
				p, tokens := part(args[5])
				d.Apply(args[1], uint64(number(args[2])), n, false, []Event{{Number: n, Part: p, Tokens: tokens, Removed: args[4] == "-"}})
			case "locate":
				p, tokens := part(args[1])
				store, ok := d.Locate(p, tokens)
				return []string{strings.TrimSpace(store + " " + strconv.FormatBool(ok))}
			case "reserve":
				p, tokens := part(args[2])
				store, ok := d.Reserve(at(args[1]), p, tokens, "r1")
				return []string{strings.TrimSpace(store + " " + strconv.FormatBool(ok))}
			case "reader":
				p, _ := part(args[2])
				reader, ok := d.SavingReplica(at(args[1]), p)
				return []string{strings.TrimSpace(reader + " " + strconv.FormatBool(ok))}
			case "follow":
				// follow STORE RUN END: a follower takes what happened since, and shows
				// where it is then.
				c, ok := d.ChangesSince(args[1], Position{Generation: uint64(number(args[2])), Offset: uint64(number(args[3]))})
				if !ok {
					return []string{"unknown"}
				}
				follower.Configure(spaces)
				follower.ApplyChanges(now, args[1], c)
				return []string{fmt.Sprintf("run %d end %d whole %t events %d", c.Generation, c.Offset, c.Snapshot, len(c.Events))}
			case "follower":
				p, tokens := part(args[1])
				store, ok := follower.Locate(p, tokens)
				return []string{strings.TrimSpace(store + " " + strconv.FormatBool(ok))}
			case "forget":
				d.Forget(args[1])
			case "synced":
				return []string{fmt.Sprint(d.Synced(args[1]))}
			case "free":
				p, _ := part(args[2])
				d.MarkFreed(args[1], []Part{p})
			case "asked":
				// asked SIZE COUNT: so many different parts; asked SIZE COUNT ID: one
				// part so many times.
				for i := range number(args[2]) {
					id := args[1] + "-" + strconv.Itoa(i)
					if len(args) > 3 {
						id = args[3]
					}
					d.ObserveSize(id, number(args[1]))
				}
			case "took":
				took, _ := time.ParseDuration(args[2])
				d.ObserveFirstChunk(at(args[1]), args[3:], took)
			case "worth":
				limit, _ := time.ParseDuration(args[4])
				return []string{fmt.Sprint(d.ShouldFetch(at(args[1]), args[2], number(args[3]), limit))}
			case "plan":
				p, tokens := part(args[2])
				limit, _ := time.ParseDuration(args[3])
				source, store := d.Plan(at(args[1]), p, tokens, limit, "r1")
				name := map[Source]string{Prefill: "read", Fetch: "fetch", Save: "save"}[source]
				return []string{strings.TrimSpace(name + " " + store)}
			case "stale":
				var out []string
				for _, p := range d.Stale(args[1], func(string) bool { return false }) {
					out = append(out, p.ID)
				}
				sort.Strings(out)
				return []string{strings.Join(out, " ")}
			}
			return nil
		}
	})
}

func at(s string) time.Time { return time.UnixMilli(1_000_000 + int64(number(s))) }

func number(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func part(s string) (Part, int) {
	id, tokens, _ := strings.Cut(s, ":")
	return Part{Salt: "s", ID: id}, number(tokens)
}
