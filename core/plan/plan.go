// Package plan computes the changes that lead from the configuration in force to
// a wanted intent.
package plan

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"crocusfold.dev/core/change"
	"crocusfold.dev/core/intent"
)

// Plan lists the steps from the configuration in force to the wanted one. It has
// the version of each object that it touches, so that a conflict with another plan
// is detected.
type Plan struct {
	Change change.Change `json:"change"`
	// Offset is the offset of the configuration stream at which it was made.
	Offset uint64 `json:"offset"`
}

// New returns the plan from the objects in force at an offset to the wanted
// intent. The id must be unique. Objects that are not in the wanted intent are
// removed.
func New(now time.Time, id, operator string, offset uint64, inForce []change.Object, wanted intent.Intent) Plan {
	current := map[string]change.Object{}
	for _, o := range inForce {
		current[o.Key] = o
	}
	p := Plan{Offset: offset, Change: change.Change{ID: id, Operator: operator, Made: now}}
	target := Values(wanted)
	for key, value := range target {
		if old, ok := current[key]; !ok || !reflect.DeepEqual(old.Value, value) {
			p.Change.Steps = append(p.Change.Steps, change.Step{Key: key, Base: current[key].Version, Value: value})
		}
	}
	for key, old := range current {
		if _, ok := target[key]; !ok && !old.Removed() {
			p.Change.Steps = append(p.Change.Steps, change.Step{Key: key, Base: old.Version})
		}
	}
	sort.Slice(p.Change.Steps, func(i, j int) bool { return p.Change.Steps[i].Key < p.Change.Steps[j].Key })
	return p
}

// Values returns the objects of an intent by their keys.
func Values(in intent.Intent) map[string]change.Value {
	values := map[string]change.Value{}
	for i := range in.Accounts {
		values["account/"+in.Accounts[i].Name] = change.Value{Account: &in.Accounts[i]}
	}
	for i := range in.Works {
		values["work/"+in.Works[i].Name] = change.Value{Work: &in.Works[i]}
	}
	for i := range in.Upstreams {
		values["upstream/"+in.Upstreams[i].Name] = change.Value{Upstream: &in.Upstreams[i]}
	}
	for i := range in.Stores {
		values["store/"+in.Stores[i].Name] = change.Value{Store: &in.Stores[i]}
	}
	for _, d := range in.Drained {
		values["drain/"+d] = change.Value{Drain: true}
	}
	return values
}

// Lines returns the plan as text for an operator, with one line for each step.
func (p Plan) Lines() string {
	if len(p.Change.Steps) == 0 {
		return "no change\n"
	}
	var b strings.Builder
	for _, s := range p.Change.Steps {
		verb := "change"
		switch {
		case s.Removed():
			verb = "remove"
		case s.Base == 0:
			verb = "add"
		}
		fmt.Fprintf(&b, "%-6s  %s  (base %d)\n", verb, s.Key, s.Base)
	}
	return b.String()
}
