// Package rollout decides whether a change is in force everywhere, from what
// the instances report. The list of instances lags, so an instance that can't
// be reached must neither hang the decision for ever nor be counted as done.
package rollout

import (
	"time"

	"crocusfold.dev/core/freshness"
)

// stopMargin is added to the time after which an instance that is cut off has
// stopped taking new work.
const stopMargin = 500 * time.Millisecond

// Instance is what is known of one listed instance.
type Instance struct {
	Name      string
	Reachable bool
	Leaving   bool
	// Next is the offset of the first record that it has not read.
	Next uint64
}

// Rollout is the state of one accepted change.
type Rollout struct {
	// InForce is true if each instance that takes new work has the change.
	InForce bool `json:"in-force"`
	// Have lists the instances that have it.
	Have []string `json:"have"`
	// Missing lists the instances that answer but have not read it yet.
	Missing []string `json:"missing"`
	// Stopped lists the instances that do not answer. They have the change or
	// have stopped taking new work.
	Stopped []string `json:"stopped"`
	// Unknown lists the instances that do not answer and may still take work.
	Unknown []string `json:"unknown"`
}

// New judges a change that was read back at accepted, at an offset.
func New(now, accepted time.Time, offset uint64, all []Instance) Rollout {
	r := Rollout{Have: []string{}, Missing: []string{}, Stopped: []string{}, Unknown: []string{}}
	viewsExpired := now.Sub(accepted) >= freshness.Limit+stopMargin
	for _, inst := range all {
		switch {
		case inst.Reachable && inst.Next > offset:
			r.Have = append(r.Have, inst.Name)
		case inst.Leaving:
			continue
		case inst.Reachable:
			r.Missing = append(r.Missing, inst.Name)
		case viewsExpired:
			r.Stopped = append(r.Stopped, inst.Name)
		default:
			r.Unknown = append(r.Unknown, inst.Name)
		}
	}
	r.InForce = len(r.Missing)+len(r.Unknown) == 0 && len(r.Have) > 0
	return r
}
