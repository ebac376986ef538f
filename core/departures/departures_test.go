package departures

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIncarnations checks that a departure holds for its incarnation only, and that an
// earlier incarnation's does not replace a later one's.
func TestIncarnations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var d Departures
	is.True(!d.Leaving("r1", 5))
	is.True(d.Record(now, "r1", 5))
	is.True(!d.Record(now.Add(time.Second), "r1", 5)) // repeated
	is.True(d.Leaving("r1", 5))
	is.True(!d.Leaving("r1", 6))
	is.True(!d.Record(now, "r1", 4))
	is.True(d.Record(now, "r1", 6))
	is.True(d.Leaving("r1", 6))
}

// TestSweep checks that departures are kept while their replicas are listed.
func TestSweep(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var d Departures
	d.Record(now, "listed", 1)
	d.Record(now, "gone", 0)
	d.Sweep(now.Add(ttl), func(string) bool { return false })
	is.Equal(len(d.RecordedSince(now)), 2)
	d.Sweep(now.Add(ttl+time.Second), func(id string) bool { return id == "listed" })
	is.True(d.Leaving("listed", 1))
	is.True(!d.Leaving("gone", 0))
	is.Equal(len(d.RecordedSince(now.Add(time.Second))), 0)
}
