package ledger

import (
	"fmt"
	"strings"

	"crocusfold.dev/core/change"
)

// references counts what the objects offer to each other and what they need of
// each other. The zero value is that of an empty ledger.
type references struct {
	// roles and places count the upstreams and stores that offer them.
	roles, places map[string]int
	accounts      map[string]int
	// Needed counts are those of works and drains.
	neededRoles, neededPlaces, neededAccounts map[string]int
}

// add counts an object n times; n is 1 or -1.
func (r *references) add(key string, v change.Value, n int) {
	if r.roles == nil {
		*r = references{
			map[string]int{}, map[string]int{}, map[string]int{},
			map[string]int{}, map[string]int{}, map[string]int{},
		}
	}
	switch {
	case v.Account != nil:
		count(r.accounts, v.Account.Name, n)
	case v.Upstream != nil:
		count(r.roles, v.Upstream.Role, n)
		count(r.places, v.Upstream.DataCentre, n)
		count(r.places, v.Upstream.Name, n)
	case v.Store != nil:
		count(r.places, v.Store.DataCentre, n)
	case v.Work != nil:
		count(r.neededRoles, v.Work.Role, n)
		for _, a := range v.Work.Accounts {
			count(r.neededAccounts, a, n)
		}
	case v.Drain:
		count(r.neededPlaces, strings.TrimPrefix(key, "drain/"), n)
	}
}

func count(m map[string]int, name string, n int) {
	if m[name] += n; m[name] == 0 {
		delete(m, name)
	}
}

// check reports a reference of or to the object that leads nowhere.
func (r *references) check(v change.Value) error {
	switch {
	case v.Account != nil:
		return missing("account", v.Account.Name, r.neededAccounts, r.accounts)
	case v.Upstream != nil:
		if err := missing("role", v.Upstream.Role, r.neededRoles, r.roles); err != nil {
			return err
		}
		if err := missing("place", v.Upstream.Name, r.neededPlaces, r.places); err != nil {
			return err
		}
		return missing("place", v.Upstream.DataCentre, r.neededPlaces, r.places)
	case v.Store != nil:
		return missing("place", v.Store.DataCentre, r.neededPlaces, r.places)
	case v.Work != nil:
		for _, a := range v.Work.Accounts {
			if err := missing("account", a, r.neededAccounts, r.accounts); err != nil {
				return err
			}
		}
		return missing("role", v.Work.Role, r.neededRoles, r.roles)
	case v.Drain:
		for place := range r.neededPlaces {
			if err := missing("place", place, r.neededPlaces, r.places); err != nil {
				return err
			}
		}
	}
	return nil
}

func missing(kind, name string, needed, offered map[string]int) error {
	if needed[name] > 0 && offered[name] == 0 {
		return fmt.Errorf("result of the change: the %s %q is needed and not there", kind, name)
	}
	return nil
}
