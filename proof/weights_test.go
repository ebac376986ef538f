package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// swap ENGINE VERSION loads another weight version behind the system's back.
func (b *runner) swap(args []string) []string {
	_, _ = b.d.CallStandIn(args[1], http.MethodPost, "/stand-in/swap/"+args[2], nil)
	return nil
}

// issue ENGINE VERSION FENCE sends an order as another issuer would.
func (b *runner) issue(args []string) []string {
	raw, _ := b.d.CallStandIn(args[1], http.MethodPost, "/orders", fmt.Appendf(nil, `{"version":%q,"fence":%s}`, args[2], args[3]))
	if len(raw) == 0 {
		return nil
	}
	return []string{strings.TrimSpace(string(raw))}
}

// version ENTRY NEW [old=V] states another weight version in the intent.
func (b *runner) version(args []string) []string {
	wanted := b.d.Intent
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
	id := b.nextID()
	b.plans[id] = b.d.Plan(id, b.d.State(args[1]), wanted)
	return b.confirm([]string{"confirm", id, args[1]})
}

// versions counts the engines by the weight version that they hold.
func (b *runner) versions([]string) []string {
	counts := map[string]int{}
	for _, e := range b.d.Engines() {
		var s struct{ Version string }
		raw, _ := b.d.CallStandIn(e.Name, http.MethodGet, "/stand-in/seen", nil)
		_ = json.Unmarshal(raw, &s)
		counts[s.Version]++
	}
	return summary(counts, false, "")
}

// loads prints the most loads of weights that ran at once.
func (b *runner) loads([]string) []string {
	raw, _ := b.d.CallStandIn("weights", http.MethodGet, "/stand-in/peak", nil)
	return []string{strings.TrimSpace(string(raw))}
}
