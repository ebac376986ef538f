package stall

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestStalls runs the commands
//
//	begin REPLICA ID...     sends requests to a replica
//	run TIME [except ID...] has time pass, with a tick each 100 ms in which all requests but these
//	                        make progress; prints the findings, whose requests end
//	freeze TIME             has time pass without ticks
//	progress ID, head ID    has a request make progress, or its head arrive; prints if that ends a suspicion
//	pause ID, resume ID     begins and ends writing to the caller
//	end ID...               ends requests
//	hear REPLICA AGE        receives a suspicion of a peer
//	told                    prints the suspicions for peers
//	kept                    prints the numbers of replicas, services and suspicions that are kept
func TestStalls(t *testing.T) {
	script.Run(t, "testdata/stall.txt", func(t *testing.T) func([]string) []string {
		var s Stalls
		now, start := time.Unix(1_000_000, 0), time.Unix(1_000_000, 0)
		requests := map[string]*Request{}
		duration := func(text string) time.Duration {
			d, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			return d
		}
		end := func(id string) {
			s.End(now, requests[id])
			delete(requests, id)
		}
		run := func(d time.Duration, except []string) (out []string) {
			for until := now.Add(d); now.Before(until); {
				now = now.Add(100 * time.Millisecond)
				for id, req := range requests {
					if !slices.Contains(except, id) && req.pausedAt.IsZero() {
						s.Progress(now, req)
					}
				}
				for _, f := range s.Tick(now) {
					var ended []string
					for id, req := range requests {
						if slices.Contains(f.Requests, req) {
							ended = append(ended, id)
						}
					}
					slices.Sort(ended)
					for _, id := range ended {
						end(id)
					}
					out = append(out, strings.TrimSpace(fmt.Sprintln(now.Sub(start), f.ID, f.Evidence, strings.Join(ended, ","))))
				}
			}
			return out
		}
		return func(args []string) []string {
			switch args[0] {
			case "begin":
				for _, id := range args[2:] {
					requests[id] = s.Begin(now, "service", Replica{ID: args[1]})
				}
			case "run":
				return run(duration(args[1]), args[2:])
			case "freeze":
				now = now.Add(duration(args[1]))
			case "progress":
				return []string{fmt.Sprint(s.Progress(now, requests[args[1]]))}
			case "head":
				return []string{fmt.Sprint(s.Heard(now, requests[args[1]]))}
			case "pause":
				s.Pause(now, requests[args[1]])
			case "resume":
				s.Resume(now, requests[args[1]])
			case "end":
				for _, id := range args[1:] {
					end(id)
				}
			case "hear":
				s.Merge(now, []Suspicion{{Replica{ID: args[1]}, duration(args[2])}})
			case "hear-many":
				for i := range 10 * maxHeard {
					s.Merge(now, []Suspicion{{Replica{ID: fmt.Sprint(i)}, 0}})
				}
			case "told":
				var out []string
				for _, sus := range s.Suspicions(now) {
					out = append(out, fmt.Sprint(sus.ID, " ", sus.Age))
				}
				slices.Sort(out)
				return out
			case "kept":
				return []string{fmt.Sprint(len(s.replicas), " ", len(s.services), " ", len(s.heard))}
			default:
				t.Fatalf("unknown command %s", args[0])
			}
			return nil
		}
	})
}
