package versionadmission

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocusfold.dev/script"
)

// TestScripts runs the cases in testdata. Times are in seconds, and the longest time of a stream
// is 10 s. All versions are of one service:
//
//	at TIME                     the time of the following commands
//	changed                     an instance started or ended
//	load VERSION:REPLICA...     the log has these versions
//	load-part VERSION:REPLICA...  the same, beside records that can't be read
//	learn VERSION AGE           a peer knows that the version is admitted
//	lost                        the log may have lost its records
//	list VERSION:REPLICA...     the list of replicas; REPLICA is ID or ID@INCARNATION, ending in
//	                            "-" if the replica takes no requests
//	due RANK                    prints the writes of an instance of that rank
//	written                     the writes that were last printed have succeeded
//	admitted                    prints the admitted versions, and the only one that may have
//	                            begun a stream
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txt", func(*testing.T) func([]string) []string {
		a := &Admissions{}
		a.SetWindow(10 * time.Second)
		now := time.Unix(1000, 0)
		var due []Write
		return func(args []string) []string {
			switch args[0] {
			case "at":
				seconds, _ := strconv.ParseFloat(args[1], 64)
				now = time.Unix(1000, int64(seconds*1e9))
			case "changed":
				a.InstancesChanged(now)
			case "load", "load-part":
				a.Load(now, recordsOf(args[1:]), args[0] == "load")
			case "learn":
				age, _ := time.ParseDuration(args[2])
				a.Learn(now, []Served{{Version{"llm", args[1]}, now.Add(-age)}}, true)
			case "lost":
				a.Lost()
			case "list":
				a.Observe(now, "llm", listOf(args[1:]))
			case "due":
				rank, _ := strconv.Atoi(args[1])
				due = a.Due(now, rank)
				var out []string
				for _, w := range due {
					out = append(out, fmt.Sprintf("%s replicas=%d delete=%v", w.Version.Name, len(w.Processes), w.Delete))
				}
				slices.Sort(out)
				return out
			case "written":
				for _, w := range due {
					a.Written(now, w)
				}
			case "admitted":
				var names []string
				for name := range a.Allowed(now)["llm"] {
					names = append(names, name)
				}
				slices.Sort(names)
				only, ok := a.Only(now, "llm")
				return []string{fmt.Sprintf("%v only=%q %v", names, only, ok)}
			}
			return nil
		}
	})
}

func listOf(args []string) []Listed {
	var out []Listed
	for _, arg := range args {
		version, replica, _ := strings.Cut(arg, ":")
		replica, notReady := strings.CutSuffix(replica, "-")
		id, incarnation, _ := strings.Cut(replica, "@")
		n, _ := strconv.ParseInt(incarnation, 10, 64)
		out = append(out, Listed{version, NewProcess(id, n), !notReady})
	}
	return out
}

func recordsOf(args []string) []Record {
	byVersion := map[string][]Process{}
	for _, r := range listOf(args) {
		byVersion[r.Version] = append(byVersion[r.Version], r.Process)
	}
	var out []Record
	for name, processes := range byVersion {
		slices.SortFunc(processes, compare)
		out = append(out, Record{Version{"llm", name}, processes})
	}
	return out
}
