package replicas

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/entry/message"
)

// TestLimitOfUnlistedStart checks that a peer's word of a limit holds once the list has the
// start that it is of, whether that start is numbered higher or lower than the listed one, and
// whatever comes of other starts meanwhile.
func TestLimitOfUnlistedStart(t *testing.T) {
	for _, unlisted := range []int64{6, 4} {
		is := is.New(t)
		now := time.UnixMilli(1_000_000)
		rs := &Replicas{Logger: log.NewNopLogger()}
		list := func(incarnation int64) {
			r := pool.Replica{ID: "r", Service: "s", Incarnation: incarnation}
			rs.WithPool(func(p *pool.Pool) { p.Set(r) })
			rs.mu.Lock()
			defer rs.mu.Unlock()
			rs.matchLimit(now, r)
		}
		list(5)
		limit := func(incarnation int64, rate float64) {
			rs.MergeLimits(now, "peer", 0, []message.ReplicaLimit{{Replica: "r", Incarnation: incarnation, Limited: true, Rate: rate}})
		}
		limit(unlisted, 3)
		limit(9, 1)
		list(unlisted)
		got, ok := rs.Limit("r", unlisted)
		is.True(ok)
		is.Equal(got.Rate, 3.0)
	}
}
