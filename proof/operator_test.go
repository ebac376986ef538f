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

// plan NAME INSTANCE drain|return TARGET makes a plan from the state of an instance,
// for confirm.
func (r *runner) plan(args []string) []string {
	r.plans[args[1]] = r.d.DrainPlan(args[1], r.d.State(args[2]), args[4], args[3] == "drain")
	return nil
}

// confirm NAME INSTANCE confirms a plan through an instance. It prints the verdict or
// the error code, and whether the change is in force on all instances.
func (r *runner) confirm(args []string) []string {
	var c struct {
		Outcome struct{ Verdict string }
		Rollout struct {
			InForce bool `json:"in-force"`
		}
		Took time.Duration
	}
	if err := r.d.CallOperator(args[2], http.MethodPost, "/operator/changes", r.plans[args[1]], &c); err != nil {
		var e struct{ Error struct{ Code string } }
		_ = json.Unmarshal([]byte(err.Error()), &e)
		return []string{e.Error.Code}
	}
	if c.Outcome.Verdict != "accepted" {
		return []string{c.Outcome.Verdict}
	}
	r.t.Logf("in force=%t after %s of fake time", c.Rollout.InForce, c.Took)
	return []string{fmt.Sprintf("accepted in-force=%t", c.Rollout.InForce)}
}

// drain INSTANCE TARGET plans and confirms the drain of a target, return INSTANCE
// TARGET its return.
func (r *runner) drain(args []string) []string {
	id := r.nextID()
	r.plan([]string{"plan", id, args[1], args[0], args[2]})
	return r.confirm([]string{"confirm", id, args[1]})
}

// status INSTANCE prints the view status of each instance as INSTANCE received it.
func (r *runner) status(args []string) []string {
	var all struct{ Instances []message.Status }
	if err := r.d.CallOperator(args[1], http.MethodGet, "/operator/status", nil, &all); err != nil {
		return []string{err.Error()}
	}
	var out []string
	for _, s := range all.Instances {
		out = append(out, s.Name+" "+s.View)
	}
	sort.Strings(out)
	return out
}

// ready INSTANCE prints whether the instance is ready.
func (r *runner) ready(args []string) []string { return []string{fmt.Sprint(r.d.Ready(args[1]))} }

// inforce INSTANCE[,INSTANCE] drained|open TARGET MILLISECONDS waits until the drain or
// the return of a target is in force on each instance. It prints the first instance
// that is late.
func (r *runner) inForce(args []string) []string {
	limit, _ := strconv.Atoi(args[4])
	deadline := time.Now().Add(time.Duration(limit) * time.Millisecond)
	for _, name := range strings.Split(args[1], ",") {
		for r.drained(name, args[3]) != (args[2] == "drained") {
			if time.Now().After(deadline) {
				return []string{name + " is late"}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// drained reports whether a target is drained in the state of an instance.
func (r *runner) drained(name, target string) bool {
	for _, o := range r.d.State(name).Objects {
		if o.Key == "drain/"+target {
			return o.Drain
		}
	}
	return false
}
