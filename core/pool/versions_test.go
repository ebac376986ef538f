package pool

import (
	"net/netip"
	"testing"
	"time"
)

// TestVersions checks that no replica of a version that is not allowed is chosen, and that
// only the replicas of the lowest rank are, also if those can't take the request: a canary
// that spread to others would show no fault that needs load.
func TestVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	newPool := func() *Pool {
		p := &Pool{}
		for id, software := range map[string]string{"a": "v1", "b": "v1", "c": "v2", "d": "v2", "e": "v3"} {
			p.Set(Replica{ID: id, Service: "s", Software: software, DataCentre: "z", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80")})
		}
		return p
	}
	rank := func(id string) uint64 { return uint64('z' - id[0]) }
	for _, c := range []struct {
		name     string
		versions Versions
		tried    map[string]bool
		want     string
	}{
		{"all", Versions{}, nil, "abcde"},
		{"only one", Versions{Only: "v2"}, nil, "cd"},
		{"all but some", Versions{Except: []string{"v2", "v3"}}, nil, "ab"},
		{"the first replica", Versions{Only: "v2", First: 1, Rank: rank}, nil, "d"},
		{"the first replica was tried", Versions{Only: "v2", First: 1, Rank: rank}, map[string]bool{"d": true}, ""},
		{"more than there are", Versions{Only: "v2", First: 3, Rank: rank}, nil, "cd"},
		{"a version without replicas", Versions{Only: "v4"}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, got := newPool(), map[string]bool{}
			for i := range 40 {
				choice, reason := p.Choose(now, Request{Service: "s", Versions: c.versions, Tried: c.tried, SampleSeed: uint64(i + 1)})
				if reason != "" {
					break
				}
				got[choice.ID] = true
				p.Begin(choice.ID, Load{})
			}
			text := ""
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				if got[id] {
					text += id
				}
			}
			if text != c.want {
				t.Errorf("chose %q, wanted %q", text, c.want)
			}
		})
	}
}

// TestFirstSkipsUnusable checks that a replica of the lowest rank that leaves, or is in a
// closed data centre, does not take the place of one that can be used.
func TestFirstSkipsUnusable(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Pool{}
	for id, r := range map[string]Replica{"a": {Draining: true}, "b": {DataCentre: "closed"}, "c": {}, "d": {}} {
		r.ID, r.Service, r.Software, r.Slots = id, "s", "v2", 2
		p.Set(r)
	}
	rank := func(id string) uint64 { return uint64(id[0]) }
	choice, reason := p.Choose(now, Request{
		Service: "s", ClosedDataCentres: map[string]bool{"closed": true}, Versions: Versions{Only: "v2", First: 1, Rank: rank},
	})
	if reason != "" || choice.ID != "c" {
		t.Errorf("chose %q, %s; wanted c", choice.ID, reason)
	}
}
