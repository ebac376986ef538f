package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const whyUsage = `Shows what the logs of instances say about a request: its lines in the order of
time, failures and changes at its instance shortly before, and the likely cause.

  crocusctl why REQUEST-ID edge-1.log edge-2.log`

// relatedWindow is how long before the end of a request another line of its instance
// counts as related to it.
const relatedWindow = 15 * time.Second

type whyCommand struct {
	tool *tool
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" description:"the request's id"`
		Files   []string `positional-arg-name:"FILE" required:"1" description:"log files of instances"`
	} `positional-args:"yes" required:"yes"`
}

// causes maps the outcomes that crocus-edge logs to their likely causes.
var causes = map[string]struct {
	sentence string
	// related lists the messages of other log lines that may explain the outcome.
	related []string
}{
	"ok":                           {"It was served whole. If it was late, compare its first byte with others of its replica and of the stores in its context.", nil},
	"no-configuration":             {"The instance had just started and had no configuration yet.", []string{"The instance serves.", "Lost the platform's log."}},
	"configuration-not-proven":     {"The instance could not tell whether its configuration was current, so a key might have been revoked.", []string{"Lost the platform's log.", "The platform's log answers again."}},
	"route-unknown":                {"No route of the configuration in force matches its host and path.", []string{"An intent is in force."}},
	"key-unknown":                  {"No account of the configuration in force has its key.", []string{"An intent is in force."}},
	"no-replica":                   {"No replica of its service was listed, or its data centres were closed. If it resumes a stream, none had the software version that began it.", []string{"A replica left the list.", "An intent is in force."}},
	"reloading":                    {"All replicas that could run it were changing their weights.", []string{"A replica gets no new work before its weights change.", "A replica holds new weights."}},
	"cold":                         {"All replicas that could run it were cold and at their limit of requests.", []string{"A replica changed."}},
	"failing":                      {"All replicas that could run it had failed shortly before.", []string{"A try failed."}},
	"limited":                      {"All replicas that could run it had stated limits, and no request was left within them.", []string{"The limit of a replica changed."}},
	"full":                         {"All replicas that could run it were full for as long as it could wait.", []string{"A replica left the list."}},
	"no-replica-took-it":           {"Each replica that was tried refused it or could not be reached.", nil},
	"not-started-in-time":          {"Its deadline passed before a replica accepted it.", nil},
	"crashes-replicas":             {"Three replicas or more ended while they ran the same request, at this instance or others.", []string{"Counted an end of a replica against a request.", "A request that takes down replicas is barred."}},
	"prompt-part-crashes-replicas": {"Replicas ended again and again while they ran requests with one part of its prompt, at this instance or others; the part is in its line.", []string{"Counted an end of a replica against a request.", "A part of prompts that crashes replicas is blocked."}},
	"stream-origin-unknown":        {"It resumes a stream, and no instance knows which software version began it.", []string{"Streams have several software versions, or one again.", "Sending the origins of streams failed."}},
	"stream-service-moved":         {"It resumes a stream of a service to which its route no longer leads.", []string{"An intent is in force."}},
	"rollouts-unknown":             {"Its instance did not know yet which software versions the rollout orders allow.", []string{"The instance serves.", "Lost the platform's log."}},
	"version-unusable":             {"It resumes a stream that a software version began which was rolled back.", []string{"The phase of a rollout changed.", "Wrote the status of a rollout."}},
	"instance-stops":               {"Its instance was stopping, and it might not have completed before the end of the grace period.", []string{"The instance is leaving."}},
	"answer-lost":                  {"It was sent to a replica and no whole answer came; it may have run.", nil},
	"timeout":                      {"The caller's or the route's timeout passed after it was sent to a replica; it may have run.", nil},
	"answer-broke-off":             {"The replica broke off in the middle of its answer.", nil},
	"caller-left":                  {"The caller closed its connection.", nil},
}

// record is one parsed line of a log; text is the whole line.
type record struct {
	at       time.Time
	instance string
	msg      string
	id       string
	outcome  string
	text     string
}

// Execute prints the request's lines, the related lines and the likely cause.
func (w *whyCommand) Execute([]string) error {
	var own []record
	others := map[string][]record{}
	for _, file := range w.Args.Files {
		all, err := readLog(file)
		if err != nil {
			return usageError{err}
		}
		for _, rec := range all {
			if rec.id == w.Args.Request {
				own = append(own, rec)
			} else if rec.msg != "" {
				others[rec.instance] = append(others[rec.instance], rec)
			}
		}
	}
	if len(own) == 0 {
		return fmt.Errorf("no line of these files has the id %s", w.Args.Request)
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].at.Before(own[j].at) })
	for _, rec := range own {
		w.tool.printf("%s\n", rec.text)
	}
	last := own[len(own)-1]
	cause, ok := causes[last.outcome]
	if !ok {
		return errors.New("its last line has no known outcome; the request may still be running")
	}
	for _, rec := range related(others[last.instance], last, cause.related) {
		w.tool.printf("  before: %s\n", rec.text)
	}
	w.tool.printf("likely cause: %s\n", cause.sentence)
	return nil
}

// related returns, for each of the messages, the last line with it that was logged within
// relatedWindow before the end of a request.
func related(all []record, end record, messages []string) []record {
	var out []record
	for _, msg := range messages {
		var last *record
		for i := range all {
			if all[i].msg == msg && !all[i].at.After(end.at) && end.at.Sub(all[i].at) < relatedWindow {
				last = &all[i]
			}
		}
		if last != nil {
			out = append(out, *last)
		}
	}
	return out
}

// readLog returns the lines of a file that are in the instances' log format. It skips
// others.
func readLog(file string) ([]record, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("opening a log: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(f)
	if err != nil {
		return nil, fmt.Errorf("reading a log: %w", err)
	}
	var out []record
	for _, line := range strings.Split(string(raw), "\n") {
		if rec, ok := parseLine(line); ok {
			out = append(out, rec)
		}
	}
	return out, nil
}

// parseLine parses a line in logfmt. It returns false if the line has no valid time or is
// malformed.
func parseLine(line string) (record, bool) {
	rec := record{text: line}
	d := logfmt.NewDecoder(strings.NewReader(line))
	if !d.ScanRecord() {
		return rec, false
	}
	for d.ScanKeyval() {
		value := string(d.Value())
		switch string(d.Key()) {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return rec, false
			}
			rec.at = at
		case "instance":
			rec.instance = value
		case "msg":
			rec.msg = value
		case "id":
			rec.id = value
		case "outcome":
			rec.outcome = value
		}
	}
	return rec, !rec.at.IsZero() && d.Err() == nil
}
