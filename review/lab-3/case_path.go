package main

import (
	"fmt"
	"time"
)

func init() { cases["path"] = path }

// path sends proper requests whose path begins with two slashes. A replica must get the request
// target as the caller sent it. Without the disturbance, the paths begin with one slash.
func path(l *lab) bool {
	l.configure(7, []any{route("r-all", "h.example", "/", "idempotent", "app", nil)}, []any{plainService("app")}, "k1")
	p := l.addReplica("i-app", "app", "norte", "", 10*time.Millisecond)
	in := l.addInstance("edge-1", "norte", nil)
	l.start(in)
	l.waitReady(20 * time.Second)
	sent := map[string]string{}
	first := "//"
	if !l.trouble {
		first = "/"
	}
	for i, rest := range []string{"napkins/7", "napkins/7?colour=red", "other.example/admin/8", "other.example:99/admin/8?all=1", "9"} {
		id, target := fmt.Sprintf("status-%d", i), first+rest
		sent[id] = target
		raw := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nCrocusfold-Request-Id: %s\r\nCrocusfold-Deadline-Ms: 2500\r\nAuthorization: Bearer k1\r\n\r\n", target, id)
		resp, err := roundTrip(in.front, raw, 3*time.Second)
		l.note("%s: GET %s for the host h.example: %s", id, target, text(resp, err))
	}
	changed := 0
	for _, s := range p.all() {
		if s.target != sent[s.id] || s.host != "h.example" {
			changed++
			l.note("%s: the caller sent %q for the host h.example, the replica ran %q for the host %q", s.id, sent[s.id], s.target, s.host)
		}
	}
	l.note("%d of %d requests were run with another path than the caller's", changed, len(sent))
	return changed == 0
}
