// Package instancelist stands in for the platform's lagging list of instances.
package instancelist

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"crocusfold.dev/core/roster"
	"crocusfold.dev/shell/instances"
	"crocusfold.dev/standin/fault"
)

// Faults are the failure modes of the list.
type Faults struct {
	Down bool `json:"down,omitempty"`
	// LagMillis is how long a change takes to show.
	LagMillis int `json:"lag-millis,omitempty"`
}

// List holds the instances. The zero value is empty. It is safe for concurrent use.
type List struct {
	faults  fault.Injector[Faults]
	mu      sync.Mutex
	members map[string]roster.Member
	// leaving names the upstreams that are leaving.
	leaving        map[string]bool
	visible        []roster.Member
	visibleLeaving []instances.Upstream
	changedAt      time.Time
	pending        bool
}

// Put adds or replaces an instance at once.
func (l *List) Put(m roster.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil {
		l.members = map[string]roster.Member{}
	}
	l.members[m.Name] = m
	l.visible = l.sorted()
}

// Handler returns the list's HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.read)
	mux.HandleFunc("PUT /stand-in/instances/{name}", l.put)
	mux.HandleFunc("DELETE /stand-in/instances/{name}", l.remove)
	mux.HandleFunc("PUT /stand-in/leaving/{upstream}", func(_ http.ResponseWriter, r *http.Request) {
		l.update(func() { l.leaving[r.PathValue("upstream")] = true })
	})
	mux.Handle(fault.Path, &l.faults)
	return mux
}

func (l *List) read(w http.ResponseWriter, _ *http.Request) {
	f := l.faults.Get()
	if f.Down {
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending && time.Since(l.changedAt) >= time.Duration(f.LagMillis)*time.Millisecond {
		l.visible, l.visibleLeaving, l.pending = l.sorted(), l.sortedLeaving(), false
	}
	fault.WriteJSON(w, instances.Response{Instances: l.visible, Upstreams: l.visibleLeaving})
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var m roster.Member
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.Name != r.PathValue("name") {
		http.Error(w, "the instance can't be read", http.StatusBadRequest)
		return
	}
	l.update(func() { l.members[m.Name] = m })
}

func (l *List) remove(_ http.ResponseWriter, r *http.Request) {
	l.update(func() { delete(l.members, r.PathValue("name")) })
}

func (l *List) update(apply func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil {
		l.members = map[string]roster.Member{}
	}
	if l.leaving == nil {
		l.leaving = map[string]bool{}
	}
	apply()
	l.changedAt, l.pending = time.Now(), true
}

func (l *List) sortedLeaving() []instances.Upstream {
	var all []instances.Upstream
	for name := range l.leaving {
		all = append(all, instances.Upstream{Name: name, Leaving: true})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func (l *List) sorted() []roster.Member {
	all := make([]roster.Member, 0, len(l.members))
	for _, m := range l.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}
