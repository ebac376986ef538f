package ledger

import (
	"fmt"
	"strings"

	"crocusfold.dev/core/change"
)

// references counts, by name, the objects that can be referred to and the
// references to them. The zero value is that of an empty ledger.
type references struct {
	// roles counts the upstreams of each role. drainTargets counts the upstreams
	// and stores behind each name that can be drained: a data centre or an upstream.
	roles, drainTargets map[string]int
	accounts            map[string]int
	// These count the references by workloads and drains.
	neededRoles, neededDrainTargets, neededAccounts map[string]int
}

// add counts an object if n is 1, and takes it out of the counts if n is -1.
func (r *references) add(key string, v change.Value, n int) {
	if r.roles == nil {
		*r = references{
			map[string]int{}, map[string]int{}, map[string]int{},
			map[string]int{}, map[string]int{}, map[string]int{},
		}
	}
	switch {
	case v.Account != nil:
		addCount(r.accounts, v.Account.Name, n)
	case v.Upstream != nil:
		addCount(r.roles, v.Upstream.Role, n)
		addCount(r.drainTargets, v.Upstream.DataCentre, n)
		addCount(r.drainTargets, v.Upstream.Name, n)
	case v.Store != nil:
		addCount(r.drainTargets, v.Store.DataCentre, n)
	case v.Work != nil:
		addCount(r.neededRoles, v.Work.Role, n)
		for _, a := range v.Work.Accounts {
			addCount(r.neededAccounts, a, n)
		}
	case v.Drain:
		addCount(r.neededDrainTargets, strings.TrimPrefix(key, "drain/"), n)
	}
}

func addCount(m map[string]int, name string, n int) {
	if m[name] += n; m[name] == 0 {
		delete(m, name)
	}
}

// check returns an error for a dangling reference from or to the object.
func (r *references) check(v change.Value) error {
	switch {
	case v.Account != nil:
		return checkReference("account", v.Account.Name, r.neededAccounts, r.accounts)
	case v.Upstream != nil:
		if err := checkReference("role", v.Upstream.Role, r.neededRoles, r.roles); err != nil {
			return err
		}
		if err := checkReference("place", v.Upstream.Name, r.neededDrainTargets, r.drainTargets); err != nil {
			return err
		}
		return checkReference("place", v.Upstream.DataCentre, r.neededDrainTargets, r.drainTargets)
	case v.Store != nil:
		return checkReference("place", v.Store.DataCentre, r.neededDrainTargets, r.drainTargets)
	case v.Work != nil:
		for _, a := range v.Work.Accounts {
			if err := checkReference("account", a, r.neededAccounts, r.accounts); err != nil {
				return err
			}
		}
		return checkReference("role", v.Work.Role, r.neededRoles, r.roles)
	case v.Drain:
		for target := range r.neededDrainTargets {
			if err := checkReference("place", target, r.neededDrainTargets, r.drainTargets); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkReference returns an error if name is referred to and no object offers it.
// The error's text is stored as the detail of an outcome.
func checkReference(kind, name string, needed, offered map[string]int) error {
	if needed[name] > 0 && offered[name] == 0 {
		return fmt.Errorf("result of the change: the %s %q is needed and not there", kind, name)
	}
	return nil
}
