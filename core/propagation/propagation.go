// Package propagation decides whether a change is in force on all instances, from the
// instances' reports. The list of instances lags, so an unreachable instance must
// neither block the decision for ever nor count as having the change.
package propagation

import (
	"time"

	"crocusfold.dev/core/freshness"
)

// stopMargin is added to the freshness limit, after which an instance that is cut
// off from the log and its peers has stopped taking new work.
const stopMargin = 500 * time.Millisecond

// Instance is the known state of one listed instance.
type Instance struct {
	Name      string
	Reachable bool
	// Leaving is true while the instance finishes its running work; the decision
	// does not wait for it.
	Leaving bool
	// Next is the offset of the first record that it has not read.
	Next uint64
}

// Propagation is the state of one accepted change.
type Propagation struct {
	// InForce is true if each instance that takes new work has the change.
	InForce bool `json:"in-force"`
	// Have lists the instances that have the change.
	Have []string `json:"have"`
	// Missing lists the reachable instances that have not read it yet.
	Missing []string `json:"missing"`
	// Stopped lists the unreachable instances that have read it or have stopped
	// taking new work, since their earlier view has expired.
	Stopped []string `json:"stopped"`
	// Unknown lists the unreachable instances that may still take new work
	// without it.
	Unknown []string `json:"unknown"`
}

// New returns the state at now of the change at an offset of the configuration
// stream. The time accepted is when the change was read back.
func New(now, accepted time.Time, offset uint64, all []Instance) Propagation {
	r := Propagation{Have: []string{}, Missing: []string{}, Stopped: []string{}, Unknown: []string{}}
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
