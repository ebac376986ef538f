package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusfold.dev/entry/setup"
)

// TestPeerBeforeRun: peers reach an instance as soon as it listens, which is
// before its duty runs.
func TestPeerBeforeRun(t *testing.T) {
	is := is.New(t)
	d := &Duty{Bounds: &setup.Live{}}
	now := time.Unix(1000, 0)
	d.HolderElsewhere(now, []string{"replica"})
	age, ok := d.HolderSeen(now.Add(time.Millisecond))
	is.True(ok)
	is.Equal(age, time.Millisecond)
	is.True(!d.Holds(now))
}
