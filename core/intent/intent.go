// Package intent defines the configuration that the operators want: which workloads
// run where, for which client accounts and under which limits.
package intent

import (
	"fmt"
	"sort"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/store"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/core/workload"
)

// Intent is the operators' complete configuration. The lists of an intent from
// the ledger are sorted by name.
type Intent struct {
	Accounts  []account.Account   `json:"accounts"`
	Works     []workload.Workload `json:"works"`
	Upstreams []upstream.Upstream `json:"upstreams"`
	Stores    []store.Store       `json:"stores"`
	// Drained names the data centres and upstreams that get no new work.
	Drained []string `json:"drained"`
}

// Check returns an error for the first invalid object, duplicate name or dangling
// reference.
func (in Intent) Check() error {
	seen := map[string]bool{}
	for _, o := range in.objects() {
		if err := o.check(); err != nil {
			return fmt.Errorf("checking the intent: %w", err)
		}
		if seen[o.key] {
			return fmt.Errorf("checking the intent: %s is given twice", o.key)
		}
		seen[o.key] = true
	}
	if err := in.checkReferences(seen); err != nil {
		return fmt.Errorf("checking the intent: %w", err)
	}
	return nil
}

// object is a named object of an intent with its own check.
type object struct {
	key   string
	check func() error
}

func (in Intent) objects() []object {
	var all []object
	for _, a := range in.Accounts {
		all = append(all, object{"account/" + a.Name, a.Check})
	}
	for _, w := range in.Works {
		all = append(all, object{"work/" + w.Name, w.Check})
	}
	for _, u := range in.Upstreams {
		all = append(all, object{"upstream/" + u.Name, u.Check})
	}
	for _, s := range in.Stores {
		all = append(all, object{"store/" + s.Name, s.Check})
	}
	return all
}

// checkReferences returns an error if a workload or a drain refers to something that
// is not in the intent. The set seen has the keys of all objects.
func (in Intent) checkReferences(seen map[string]bool) error {
	drainTargets := map[string]bool{}
	roles := map[string]bool{}
	for _, u := range in.Upstreams {
		drainTargets[u.DataCentre], drainTargets[u.Name], roles[u.Role] = true, true, true
	}
	for _, s := range in.Stores {
		drainTargets[s.DataCentre] = true
	}
	for _, w := range in.Works {
		if !roles[w.Role] {
			return fmt.Errorf("work %s: no upstream has role %q; known roles: %v", w.Name, w.Role, sortedKeys(roles))
		}
		for _, a := range w.Accounts {
			if !seen["account/"+a] {
				return fmt.Errorf("work %s: account %q is not in the intent", w.Name, a)
			}
		}
	}
	for _, d := range in.Drained {
		if !drainTargets[d] {
			return fmt.Errorf("drained: %q is neither a data centre nor an upstream; known: %v", d, sortedKeys(drainTargets))
		}
	}
	return nil
}

func sortedKeys(set map[string]bool) []string {
	var keys []string
	for k := range set {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
