package ledger

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"crocusfold.dev/core/account"
	"crocusfold.dev/core/change"
	"crocusfold.dev/core/store"
	"crocusfold.dev/core/upstream"
	"crocusfold.dev/core/workload"
)

// TestIncrementalCheckMatchesFullCheck makes random changes and compares the verdicts, which
// look only at what a change touches, with a check of the whole intent.
func TestIncrementalCheckMatchesFullCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Ledger{}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			before := l.Objects()
			c := change.Change{ID: fmt.Sprint(i), Operator: "operator"}
			used := map[string]bool{}
			for range rapid.IntRange(1, 3).Draw(t, "steps") {
				s := randomStep(t, l)
				if !used[s.Key] {
					c.Steps = append(c.Steps, s)
				}
				used[s.Key] = true
			}
			out, err := l.Apply(l.Next(), c)
			if err != nil {
				t.Fatal(err)
			}
			whole := applySteps(before, c)
			valid := intentOf(whole).Check() == nil
			if valid != (out.Verdict == change.Accepted) {
				t.Fatalf("verdict %s (%s); the whole intent: %v", out.Verdict, out.Detail, intentOf(whole).Check())
			}
		}
	})
}

func applySteps(objects []change.Object, c change.Change) []change.Object {
	all := append([]change.Object(nil), objects...)
	for _, s := range c.Steps {
		found := false
		for i := range all {
			if all[i].Key == s.Key {
				all[i].Value, found = s.Value, true
			}
		}
		if !found {
			all = append(all, change.Object{Key: s.Key, Value: s.Value})
		}
	}
	return all
}

func randomStep(t *rapid.T, l *Ledger) change.Step {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	place := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "place")
	address := netip.MustParseAddrPort("127.0.0.1:1")
	var s change.Step
	switch rapid.SampledFrom([]string{"account", "upstream", "store", "work", "drain"}).Draw(t, "kind") {
	case "account":
		s.Key, s.Account = "account/"+name, &account.Account{Name: name, TokenHash: account.HashToken(name)}
	case "upstream":
		s.Key, s.Upstream = "upstream/"+name, &upstream.Upstream{Name: name, Address: address, DataCentre: place, Role: "role-" + place}
	case "store":
		s.Key, s.Store = "store/"+name, &store.Store{Name: name, Address: address, DataCentre: place}
	case "work":
		w := &workload.Workload{Name: name, Path: "/p", Role: "role-" + place}
		if rapid.Bool().Draw(t, "for one account") {
			w.Accounts = []string{"a"}
		}
		s.Key, s.Work = "work/"+name, w
	case "drain":
		s.Key, s.Drain = "drain/"+place, true
	}
	if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
		s.Value = change.Value{}
	}
	s.Base = l.objects[s.Key].Version
	return s
}
