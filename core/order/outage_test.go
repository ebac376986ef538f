package order

import (
	"fmt"
	"testing"
	"time"
)

// TestOutageLeavesNoBacklog asks for claims all through an outage of the log, in
// which each append is refused. Nothing may pile up, and the first claim after
// the outage must not wait behind what did.
func TestOutageLeavesNoBacklog(t *testing.T) {
	r := &Registry{Retention: time.Hour}
	now := time.Unix(1_000_000, 0)
	for i := range 10_000 {
		now = now.Add(retryInterval)
		claim := fmt.Sprint("claim-", i)
		acts := r.Step(now, Requested{Key: NewKey("account", claim), Claim: claim, Deadline: now.Add(time.Second)})
		for _, act := range acts {
			if _, ok := act.(Append); ok {
				r.Step(now, AppendDone{Failed: true})
			}
		}
	}
	if len(r.queue) > 0 || len(r.waiting) > 0 || len(r.pendingReports) > 0 {
		t.Errorf("after the outage: %d records, %d waiting, %d reports", len(r.queue), len(r.waiting), len(r.pendingReports))
	}
}

// TestReportsAreBounded reports more ends of claims than a register may queue.
func TestReportsAreBounded(t *testing.T) {
	r := &Registry{Retention: time.Hour}
	now := time.Unix(1_000_000, 0)
	full := 0
	for i := range 2 * maxQueue {
		claim := fmt.Sprint("claim-", i)
		for _, act := range r.Step(now, Finished{Key: NewKey("account", claim), Claim: claim}) {
			if rep, ok := act.(Reply); ok && rep.Verdict == Full {
				full++
			}
		}
	}
	if len(r.queue) > maxQueue || full == 0 {
		t.Errorf("%d records are queued, %d reports were refused", len(r.queue), full)
	}
}
