package waits

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaits checks that a wait holds for its incarnation and its time, that a shorter one does
// not end it, and that it is bounded.
func TestWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var w Waits
	is.Equal(w.Left(now, "r1", 1), time.Duration(0))
	w.Set(now, "r1", 1, 4*time.Second)
	w.Set(now, "r1", 1, time.Second)
	w.Set(now, "r1", 0, time.Minute) // another incarnation
	w.Set(now, "r1", 1, -time.Second)
	is.Equal(w.Left(now.Add(time.Second), "r1", 1), 3*time.Second)
	is.Equal(w.Left(now.Add(time.Second), "r1", 0), 59*time.Second)
	is.Equal(w.Left(now, "r1", 2), time.Duration(0))
	is.Equal(w.Left(now.Add(4*time.Second), "r1", 1), time.Duration(0))
	w.Set(now, "r2", 1, 1000*time.Hour)
	is.Equal(w.Left(now, "r2", 1), MaxWait)
	is.Equal(w.Count(now), 2)
	w.Sweep(now.Add(time.Minute))
	is.Equal(w.Count(now), 1)
}
