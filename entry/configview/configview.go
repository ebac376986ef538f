// Package configview is the configuration in force as the request path reads it: one
// immutable value, replaced as a whole.
package configview

import (
	"sort"
	"strings"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/intent"
	"crocusfold.dev/core/store"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/core/workload"
)

// View is never changed after New. The zero value serves nothing.
type View struct {
	// Offset is the position of the configuration stream.
	Offset uint64
	// Intent is what the view was made of.
	Intent intent.Intent

	accountsByTokenHash map[string]account.Account
	accountsByName      map[string]account.Account
	workloadsByModel    map[string]workload.Workload
	pathWorkloads       []workload.Workload
	upstreamsByRole     map[string][]upstream.Upstream
	upstreamsByName     map[string]upstream.Upstream
	drained             map[string]bool
}

// New indexes an intent.
func New(offset uint64, in intent.Intent) *View {
	v := &View{
		Offset: offset, Intent: in,
		accountsByTokenHash: map[string]account.Account{}, accountsByName: map[string]account.Account{},
		workloadsByModel: map[string]workload.Workload{}, upstreamsByRole: map[string][]upstream.Upstream{},
		upstreamsByName: map[string]upstream.Upstream{}, drained: map[string]bool{},
	}
	for _, a := range in.Accounts {
		v.accountsByTokenHash[a.TokenHash] = a
		v.accountsByName[a.Name] = a
	}
	for _, w := range in.Works {
		if w.Model != "" {
			v.workloadsByModel[w.Model] = w
			continue
		}
		v.pathWorkloads = append(v.pathWorkloads, w)
	}
	// The longest prefix is looked at first.
	sort.Slice(v.pathWorkloads, func(i, j int) bool { return len(v.pathWorkloads[i].Path) > len(v.pathWorkloads[j].Path) })
	for _, u := range in.Upstreams {
		v.upstreamsByRole[u.Role] = append(v.upstreamsByRole[u.Role], u)
		v.upstreamsByName[u.Name] = u
	}
	for _, d := range in.Drained {
		v.drained[d] = true
	}
	return v
}

// AccountByToken returns the account that a bearer token belongs to.
func (v *View) AccountByToken(token string) (account.Account, bool) {
	a, ok := v.accountsByTokenHash[account.HashToken(token)]
	return a, ok
}

// AccountByName returns an account by its name.
func (v *View) AccountByName(name string) (account.Account, bool) {
	a, ok := v.accountsByName[name]
	return a, ok
}

// WorkloadForModel returns the work that serves a model.
func (v *View) WorkloadForModel(name string) (workload.Workload, bool) {
	w, ok := v.workloadsByModel[name]
	return w, ok
}

// WorkloadForPath returns the plain-service work for a URL path.
func (v *View) WorkloadForPath(path string) (workload.Workload, bool) {
	for _, w := range v.pathWorkloads {
		if path == w.Path || strings.HasPrefix(path, strings.TrimSuffix(w.Path, "/")+"/") {
			return w, true
		}
	}
	return workload.Workload{}, false
}

// Upstreams returns the upstreams that may get new work of a kind.
func (v *View) Upstreams(w workload.Workload) []upstream.Upstream {
	var open []upstream.Upstream
	for _, u := range v.upstreamsByRole[w.Role] {
		if v.AcceptsWork(u) && w.AllowsDataCentre(u.DataCentre) && u.Service == (w.Path != "") {
			open = append(open, u)
		}
	}
	return open
}

// AcceptsWork reports whether an upstream may get new work: neither it nor its data
// centre is drained.
func (v *View) AcceptsWork(u upstream.Upstream) bool {
	return !v.drained[u.Name] && !v.drained[u.DataCentre]
}

// Upstream returns an upstream by its name.
func (v *View) Upstream(name string) (upstream.Upstream, bool) {
	u, ok := v.upstreamsByName[name]
	return u, ok
}

// Stores returns the stores in data centres that are not drained.
func (v *View) Stores() []store.Store {
	var open []store.Store
	for _, s := range v.Intent.Stores {
		if !v.drained[s.DataCentre] {
			open = append(open, s)
		}
	}
	return open
}
