package writeshare

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSumStaysWithinTheShare checks that all instances together write no more than a tenth of
// what the log takes, and no more than its partitions can append.
func TestSumStaysWithinTheShare(t *testing.T) {
	for _, r := range []Rates{
		{},
		{Writes: 400, Parts: 8, AppendTime: 4 * time.Millisecond},
		{Writes: 3200, Parts: 16, AppendTime: 4 * time.Millisecond},
		{Writes: 3200, Parts: 1, AppendTime: 4 * time.Millisecond},
	} {
		for _, n := range []int{1, 9, 195, 370} {
			is := is.New(t)
			rate := float64(n) / r.Interval(n).Seconds()
			is.True(rate <= 0.1*max(r.Writes, defaultWrites)*1.001)
			is.True(rate*r.appendTime().Seconds()/float64(r.PartsUsed()) <= 0.41)
			is.True(r.MaxRecords(10*time.Second) >= uint64(10*rate/float64(r.PartsUsed())))
		}
	}
}

// TestInterval checks the pauses of a small and a large fleet.
func TestInterval(t *testing.T) {
	is := is.New(t)
	small := Rates{Writes: 400, Parts: 8, AppendTime: 4 * time.Millisecond}
	is.Equal(small.PartsUsed(), 1)
	is.Equal(small.Interval(3), 200*time.Millisecond)
	is.Equal(small.Interval(9), 225*time.Millisecond)
	large := Rates{Writes: 3200, Parts: 16, AppendTime: 4 * time.Millisecond}
	is.Equal(large.PartsUsed(), 4)
	is.True(large.Interval(195) < 700*time.Millisecond)
}
