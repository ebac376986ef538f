package command

import (
	"errors"
	"os"
	"sort"
	"strings"

	"github.com/go-logfmt/logfmt"
)

const rolloutsUsage = `Shows what the logs of instances say about the rollouts of software versions: for
each service the newest phase, the share, the counts by route and version, the
reason of the verdict, and the status as it was written.

  crocusctl rollouts edge-1.log edge-2.log`

type rolloutsCommand struct {
	tool *tool
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"log files of instances"`
	} `positional-args:"yes" required:"yes"`
}

// rolloutReport is what the logs say about the rollout of a service.
type rolloutReport struct {
	// newest has the fields of the newest line about the phase, written those of the newest
	// status, and reason the line that has the reason of the newest phase.
	newest, written, reason map[string]string
	instances               map[string]string
}

// Execute prints the rollouts of all services.
func (c *rolloutsCommand) Execute([]string) error {
	reports := map[string]*rolloutReport{}
	for _, file := range c.Args.Files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return usageError{err}
		}
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "part=rollouts") {
				addRolloutLine(reports, parseFields(line))
			}
		}
	}
	if len(reports) == 0 {
		return errors.New("no line of these files is about a rollout")
	}
	var services []string
	for name := range reports {
		services = append(services, name)
	}
	sort.Strings(services)
	for _, name := range services {
		c.print(name, reports[name])
	}
	return nil
}

// parseFields returns the fields of a line in logfmt.
func parseFields(line string) map[string]string {
	out := map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	if !d.ScanRecord() {
		return out
	}
	for d.ScanKeyval() {
		out[string(d.Key())] = string(d.Value())
	}
	return out
}

// addRolloutLine adds a line to the report of its service. Times of logs are in RFC 3339 and
// UTC, so they are compared as text up to the fraction, which may be cut.
func addRolloutLine(reports map[string]*rolloutReport, f map[string]string) {
	if f["service"] == "" {
		return
	}
	r := reports[f["service"]]
	if r == nil {
		r = &rolloutReport{instances: map[string]string{}}
		reports[f["service"]] = r
	}
	later := func(old map[string]string) bool { return old == nil || logTime(old["ts"]) <= logTime(f["ts"]) }
	switch f["msg"] {
	case "A rollout runs.", "The phase of a rollout changed.":
		if later(r.newest) {
			r.newest = f
		}
		if f["why"] != "" && later(r.reason) {
			r.reason = f
		}
		r.instances[f["instance"]] = f["phase"]
	case "Wrote the status of a rollout.":
		if later(r.written) {
			r.written = f
		}
	}
}

// logTime returns a time of a log in a form whose order is that of the times.
func logTime(ts string) string {
	ts = strings.TrimSuffix(ts, "Z")
	if !strings.Contains(ts, ".") {
		ts += "."
	}
	return ts
}

func (c *rolloutsCommand) print(service string, r *rolloutReport) {
	if f := r.newest; f != nil {
		c.tool.printf("%s to %s: %s, share %s, %s after the order\n", service, f["target"], f["phase"], f["share"], f["age"])
		for _, counts := range strings.Fields(f["counts"]) {
			where, numbers, _ := strings.Cut(counts, "=")
			n := append(strings.Split(numbers, ","), "", "", "", "")
			c.tool.printf("  %s: %s responses, %s failed, %s lost, %s slow\n", where, n[0], n[1], n[2], n[3])
		}
	}
	if f := r.reason; f != nil {
		c.tool.printf("  reason (%s): %s\n", f["phase"], f["why"])
	}
	if f := r.written; f != nil {
		c.tool.printf("  status written by %s: %s, because %s\n", f["instance"], f["state"], f["why"])
	} else {
		c.tool.printf("  no status was written\n")
	}
	phases := map[string]int{}
	for _, phase := range r.instances {
		phases[phase]++
	}
	var names []string
	for phase := range phases {
		names = append(names, phase)
	}
	sort.Strings(names)
	for _, phase := range names {
		c.tool.printf("  instances in phase %s: %d\n", phase, phases[phase])
	}
}
