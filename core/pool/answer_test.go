package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTooLate guards against requests that occupy a replica until their deadline without a chance,
// and against refusals by estimates that are doubtful, or of services that are not concerned.
func TestTooLate(t *testing.T) {
	for _, c := range []struct {
		name      string
		contended bool
		gaps      int
		left      time.Duration
		want      Reason
	}{
		{"ten seconds of events, four left", true, 300, 4 * time.Second, TooLate},
		{"the estimate is less than twice the time left", true, 300, 6 * time.Second, ""},
		{"few events were seen", true, 50, 4 * time.Second, ""},
		{"the deadline is over", true, 300, -time.Second, TooLate},
		{"requests do not compete for replicas", false, 300, 4 * time.Second, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.UnixMilli(1_000_000)
			p := &Pool{Contended: c.contended}
			p.Set(Replica{ID: "a", Service: "s", Slots: 4, Versions: map[string]int{"m": 1}})
			req := Request{Service: "s", Model: "m", Memory: 10_000, Tokens: 100, Events: 100}
			first, reason := p.Choose(now, req)
			is.Equal(reason, Reason(""))
			p.Begin("a", Load{})
			for range c.gaps {
				now = now.Add(100 * time.Millisecond)
				p.ObserveGap(now, first, 100*time.Millisecond)
			}
			req.Deadline = now.Add(c.left)
			_, reason = p.Choose(now, req)
			is.Equal(reason, c.want)
		})
	}
}
