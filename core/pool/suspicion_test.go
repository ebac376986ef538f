package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspicion guards against requests that are sent to a stalled replica although others
// respond, against more than one probe a second, and against a replica that is never used again.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	p := &Pool{}
	p.Set(Replica{ID: "a", Service: "s", Slots: 4, Incarnation: 1})
	p.Set(Replica{ID: "b", Service: "s", Slots: 4, Incarnation: 1})
	// choose returns the chosen replica; b is busy, so that a is chosen if it may be.
	p.Begin("b", Load{})
	p.Begin("b", Load{})
	choose := func(after time.Duration, repeatable bool) string {
		c, _ := p.Choose(now.Add(after), Request{Service: "s", Repeatable: repeatable})
		return c.ID
	}
	is.Equal(choose(0, true), "a")
	_, ok := p.Suspect(now, now.Add(10*time.Second), "a", 2)
	is.True(!ok) // another incarnation
	begun, ok := p.Suspect(now, now.Add(10*time.Second), "a", 1)
	is.True(begun && ok)
	begun, _ = p.Suspect(now.Add(100*time.Millisecond), now.Add(10*time.Second), "a", 1)
	is.True(!begun) // and does not put off the probe
	is.Equal(choose(999*time.Millisecond, true), "b")
	is.Equal(choose(time.Second, false), "b")
	is.Equal(choose(time.Second, true), "a")
	is.Equal(choose(1500*time.Millisecond, true), "b")
	is.Equal(choose(2*time.Second, true), "a")
	is.Equal(choose(6900*time.Millisecond, false), "b")
	is.Equal(choose(7*time.Second, false), "a")
	is.Equal(choose(7500*time.Millisecond, true), "b")
	is.True(p.ClearSuspicion(now.Add(7500*time.Millisecond), "a", 1))
	is.Equal(choose(7500*time.Millisecond, false), "a")
	// A suspicion without new evidence ends.
	p.Suspect(now, now.Add(10*time.Second), "a", 1)
	is.Equal(choose(500*time.Millisecond, true), "b")
	is.Equal(choose(10*time.Second, false), "a")
	// If all are suspected, the requests are sent nevertheless.
	p.Suspect(now, now.Add(10*time.Second), "a", 1)
	p.Suspect(now, now.Add(10*time.Second), "b", 1)
	is.Equal(choose(0, false), "a")
}
