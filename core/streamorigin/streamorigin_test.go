package streamorigin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOriginsAreKeptForTheirTime checks that a stream is known for its time to live, and
// that the memory is bounded.
func TestOriginsAreKeptForTheirTime(t *testing.T) {
	is := is.New(t)
	const ttl = 10 * time.Second
	now := time.Unix(1000, 0)
	var o Origins
	origin := Origin{"llm", "v1", now}
	o.Add(now, ttl, 1, origin)
	for s := range 10 {
		o.Add(now.Add(time.Duration(s)*time.Second), ttl, uint64(100+s), Origin{"llm", "v2", now})
		got, ok := o.Lookup(1)
		is.True(ok)
		is.Equal(got, origin)
	}
	o.Add(now.Add(2*ttl), ttl, 2, origin)
	o.Add(now.Add(3*ttl), ttl, 3, origin)
	_, ok := o.Lookup(1)
	is.True(!ok) // forgotten after two rotations
	for n := range uint64(3 * maxStreams) {
		o.Add(now.Add(3*ttl), ttl, 1000+n, origin)
	}
	is.True(len(o.current)+len(o.previous) <= 2*maxStreams)
}
