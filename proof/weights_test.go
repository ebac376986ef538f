package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// swap ENGINE VERSION makes an engine load another weight version without a load
// command.
func (r *runner) swap(args []string) []string {
	_, _ = r.d.CallStandIn(args[1], http.MethodPost, "/stand-in/swap/"+args[2], nil)
	return nil
}

// issue ENGINE VERSION FENCE sends a load command with a fencing token, as another
// issuer would, and prints the response body.
func (r *runner) issue(args []string) []string {
	raw, _ := r.d.CallStandIn(args[1], http.MethodPost, "/orders", fmt.Appendf(nil, `{"version":%q,"fence":%s}`, args[2], args[3]))
	if len(raw) == 0 {
		return nil
	}
	return []string{strings.TrimSpace(string(raw))}
}

// version INSTANCE NEW [old=V] confirms an intent with another weight version of all
// works that have a model; old is a version that may still serve requests.
func (r *runner) version(args []string) []string {
	wanted := r.d.Intent
	wanted.Works = slices.Clone(wanted.Works)
	for i := range wanted.Works {
		if wanted.Works[i].Model == "" {
			continue
		}
		wanted.Works[i].Version = args[2]
		if old := options(args)["old"]; old != "" {
			wanted.Works[i].OldVersions = []string{old}
		}
	}
	id := r.nextID()
	r.plans[id] = r.d.Plan(id, r.d.State(args[1]), wanted)
	return r.confirm([]string{"confirm", id, args[1]})
}

// versions prints the number of engines that hold each weight version.
func (r *runner) versions([]string) []string {
	counts := map[string]int{}
	for _, e := range r.d.Engines() {
		var s struct{ Version string }
		raw, _ := r.d.CallStandIn(e.Name, http.MethodGet, "/stand-in/seen", nil)
		_ = json.Unmarshal(raw, &s)
		counts[s.Version]++
	}
	return summary(counts, false, "")
}

// loads prints the peak number of concurrent weight loads.
func (r *runner) loads([]string) []string {
	raw, _ := r.d.CallStandIn("weights", http.MethodGet, "/stand-in/peak", nil)
	return []string{strings.TrimSpace(string(raw))}
}
