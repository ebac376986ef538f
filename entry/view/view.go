// Package view is the configuration in force as the request path reads it: one
// immutable value, replaced as a whole.
package view

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

	accounts map[string]account.Account
	byName   map[string]account.Account
	models   map[string]workload.Workload
	paths    []workload.Workload
	roles    map[string][]upstream.Upstream
	names    map[string]upstream.Upstream
	drained  map[string]bool
}

// New indexes an intent.
func New(offset uint64, in intent.Intent) *View {
	v := &View{
		Offset: offset, Intent: in,
		accounts: map[string]account.Account{}, byName: map[string]account.Account{},
		models: map[string]workload.Workload{}, roles: map[string][]upstream.Upstream{},
		names: map[string]upstream.Upstream{}, drained: map[string]bool{},
	}
	for _, a := range in.Accounts {
		v.accounts[a.TokenHash] = a
		v.byName[a.Name] = a
	}
	for _, w := range in.Works {
		if w.Model != "" {
			v.models[w.Model] = w
			continue
		}
		v.paths = append(v.paths, w)
	}
	// The longest prefix is looked at first.
	sort.Slice(v.paths, func(i, j int) bool { return len(v.paths[i].Path) > len(v.paths[j].Path) })
	for _, u := range in.Upstreams {
		v.roles[u.Role] = append(v.roles[u.Role], u)
		v.names[u.Name] = u
	}
	for _, d := range in.Drained {
		v.drained[d] = true
	}
	return v
}

// Account returns the account that a bearer token belongs to.
func (v *View) Account(token string) (account.Account, bool) {
	a, ok := v.accounts[account.HashToken(token)]
	return a, ok
}

// AccountNamed returns an account by its name.
func (v *View) AccountNamed(name string) (account.Account, bool) {
	a, ok := v.byName[name]
	return a, ok
}

// Model returns the work that serves a model.
func (v *View) Model(name string) (workload.Workload, bool) {
	w, ok := v.models[name]
	return w, ok
}

// Path returns the plain-service work for a URL path.
func (v *View) Path(path string) (workload.Workload, bool) {
	for _, w := range v.paths {
		if path == w.Path || strings.HasPrefix(path, strings.TrimSuffix(w.Path, "/")+"/") {
			return w, true
		}
	}
	return workload.Workload{}, false
}

// Upstreams returns the upstreams that may get new work of a kind.
func (v *View) Upstreams(w workload.Workload) []upstream.Upstream {
	var open []upstream.Upstream
	for _, u := range v.roles[w.Role] {
		if v.Open(u) && w.AllowsDataCentre(u.DataCentre) && u.Service == (w.Path != "") {
			open = append(open, u)
		}
	}
	return open
}

// Open reports whether an upstream may get new work: neither it nor its data
// centre is drained.
func (v *View) Open(u upstream.Upstream) bool {
	return !v.drained[u.Name] && !v.drained[u.DataCentre]
}

// Upstream returns an upstream by its name.
func (v *View) Upstream(name string) (upstream.Upstream, bool) {
	u, ok := v.names[name]
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
