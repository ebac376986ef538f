package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"crocusfold.dev/entry/message"
)

// plan NAME ENTRY drain|return TARGET keeps a plan for confirm.
func (b *runner) plan(args []string) []string {
	b.plans[args[1]] = b.d.DrainPlan(args[1], b.d.State(args[2]), args[4], args[3] == "drain")
	return nil
}

// confirm NAME ENTRY puts a kept plan into force.
func (b *runner) confirm(args []string) []string {
	var c struct {
		Outcome struct{ Verdict string }
		Rollout struct {
			InForce bool `json:"in-force"`
		}
		Took time.Duration
	}
	if err := b.d.CallOperator(args[2], http.MethodPost, "/operator/changes", b.plans[args[1]], &c); err != nil {
		var e struct{ Error struct{ Code string } }
		_ = json.Unmarshal([]byte(err.Error()), &e)
		return []string{e.Error.Code}
	}
	if c.Outcome.Verdict != "accepted" {
		return []string{c.Outcome.Verdict}
	}
	b.t.Logf("in force=%t after %s of fake time", c.Rollout.InForce, c.Took)
	return []string{fmt.Sprintf("accepted in-force=%t", c.Rollout.InForce)}
}

// drain ENTRY TARGET, return ENTRY TARGET
func (b *runner) drain(args []string) []string {
	id := b.nextID()
	b.plan([]string{"plan", id, args[1], args[0], args[2]})
	return b.confirm([]string{"confirm", id, args[1]})
}

// status ENTRY prints the view of each instance as ENTRY hears it.
func (b *runner) status(args []string) []string {
	var all struct{ Instances []message.Status }
	if err := b.d.CallOperator(args[1], http.MethodGet, "/operator/status", nil, &all); err != nil {
		return []string{err.Error()}
	}
	var out []string
	for _, s := range all.Instances {
		out = append(out, s.Name+" "+s.View)
	}
	sort.Strings(out)
	return out
}

func (b *runner) ready(args []string) []string { return []string{fmt.Sprint(b.d.Ready(args[1]))} }

// inforce ENTRY,ENTRY drained|open TARGET MILLISECONDS waits until each entry
// has the state and prints "late" if that takes longer.
func (b *runner) inForce(args []string) []string {
	limit, _ := strconv.Atoi(args[4])
	deadline := time.Now().Add(time.Duration(limit) * time.Millisecond)
	for _, name := range strings.Split(args[1], ",") {
		for b.drained(name, args[3]) != (args[2] == "drained") {
			if time.Now().After(deadline) {
				return []string{name + " is late"}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (b *runner) drained(name, target string) bool {
	for _, o := range b.d.State(name).Objects {
		if o.Key == "drain/"+target {
			return o.Drain
		}
	}
	return false
}
