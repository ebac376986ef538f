package departures

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIncarnations checks that a departure holds for its incarnation only, and that none
// replaces or hides another's, in whatever order they are recorded.
func TestIncarnations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var d Departures
	is.True(!d.Leaving("r1", 5))
	is.True(d.Record(now, "r1", 5))
	is.True(!d.Record(now.Add(time.Second), "r1", 5)) // repeated
	is.True(d.Leaving("r1", 5))
	is.True(!d.Leaving("r1", 6))
	is.True(d.Record(now, "r1", 4))
	is.True(d.Leaving("r1", 4))
	is.True(d.Leaving("r1", 5))
	is.True(!d.Leaving("r2", 5))
	is.True(d.Record(now, "r1", 6))
	is.True(d.Leaving("r1", 6))
	is.True(d.Leaving("r1", 5))
}

// TestSweep checks that departures are kept while their incarnations are listed.
func TestSweep(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var d Departures
	d.Record(now, "listed", 1)
	d.Record(now, "listed", 2)
	d.Record(now, "gone", 0)
	is.Equal(d.Count(), 2) // replicas
	d.Sweep(now.Add(ttl), func(string, int64) bool { return false })
	is.Equal(len(d.RecordedSince(now)), 3)
	d.Sweep(now.Add(ttl+time.Second), func(id string, number int64) bool { return id == "listed" && number == 1 })
	is.True(d.Leaving("listed", 1))
	is.True(!d.Leaving("listed", 2))
	is.True(!d.Leaving("gone", 0))
	is.Equal(len(d.RecordedSince(now.Add(time.Second))), 0)
}
