package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSecondAttemptKeepsAwayFromErrors guards against a second attempt at a replica that has just
// responded with an error, and against one that is made at once if all replicas have.
func TestSecondAttemptKeepsAwayFromErrors(t *testing.T) {
	is := is.New(t)
	var p Pool
	for _, id := range []string{"a", "b", "c"} {
		p.Set(Replica{ID: id, Service: "s", Slots: 6})
	}
	now := time.Unix(1000, 0)
	second := Request{Service: "s", Idempotent: true, AvoidErring: true, Tried: map[string]bool{"a": true}}
	p.IdempotentResponse(now, "a", true)
	p.IdempotentResponse(now, "b", true)
	choice, reason := p.Choose(now, second)
	is.Equal(choice.ID, "c") // the only one without an error
	is.Equal(reason, Reason(""))
	p.IdempotentResponse(now, "c", true)
	_, reason = p.Choose(now.Add(100*time.Millisecond), second)
	is.Equal(reason, Erring) // the attempt waits
	p.IdempotentResponse(now.Add(110*time.Millisecond), "b", false)
	choice, _ = p.Choose(now.Add(120*time.Millisecond), second)
	is.Equal(choice.ID, "b") // it responds again
	_, reason = p.Choose(now.Add(erringTime), Request{Service: "s", Idempotent: true, AvoidErring: true})
	is.Equal(reason, Reason("")) // the errors are some time ago
	first := Request{Service: "s", Tried: map[string]bool{"a": true, "b": true}}
	choice, _ = p.Choose(now.Add(time.Millisecond), first)
	is.Equal(choice.ID, "c") // other requests go there
}
