// Package writeshare divides a share of the writes that a log takes among all instances, for
// a topic to which each of them writes a record now and then.
package writeshare

import (
	"math"
	"time"
)

const (
	// share is the part of the log's writes that the topic may take.
	share = 0.1
	// maxLoad is the part of the time that a partition spends on the topic's records.
	maxLoad = 0.4
	// minInterval is the shortest pause between two records of an instance.
	minInterval = 200 * time.Millisecond
	// defaultWrites is the rate of writes if the log states none.
	defaultWrites = 400.0
	// defaultAppendTime is the time of an append if the log states none.
	defaultAppendTime = 4 * time.Millisecond
)

// Rates are what a log takes from all instances together. Zero fields are not known.
type Rates struct {
	// Writes is the number of writes per second.
	Writes float64
	// Parts is the number of partitions of a topic, and AppendTime how long one of them
	// takes for an append.
	Parts      int
	AppendTime time.Duration
}

func (r Rates) appendTime() time.Duration {
	if r.AppendTime <= 0 {
		return defaultAppendTime
	}
	return r.AppendTime
}

// PartsUsed returns the number of partitions over which the records are spread: as few as
// can take them, since each must be read.
func (r Rates) PartsUsed() int {
	n := int(math.Ceil(r.budget() * r.appendTime().Seconds() / maxLoad))
	return min(max(1, n), max(1, r.Parts))
}

// budget returns the records per second that the log's rate of writes allows.
func (r Rates) budget() float64 {
	if r.Writes <= 0 {
		return share * defaultWrites
	}
	return share * r.Writes
}

// PerSecond returns the records per second that all instances together may write.
func (r Rates) PerSecond() float64 {
	return min(r.budget(), float64(r.PartsUsed())*maxLoad/r.appendTime().Seconds())
}

// Interval returns the pause between two records of one of so many instances.
func (r Rates) Interval(instances int) time.Duration {
	return max(minInterval, time.Duration(float64(instances)/r.PerSecond()*float64(time.Second)))
}

// MaxRecords returns a bound of the records that were written to a partition within a time.
// The partitions are not used evenly, and each instance may be ahead by one record.
func (r Rates) MaxRecords(window time.Duration) uint64 {
	return uint64(math.Ceil(2 * r.PerSecond() * max(window, time.Second).Seconds()))
}
