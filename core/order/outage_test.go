package order

import (
	"fmt"
	"testing"
	"time"
)

// TestOutageLeavesNoBacklog requests claims during an outage of the log in which
// each append fails. No records, requests or reports may be left over, or the first
// claim after the outage would queue behind them.
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
		t.Errorf("after the outage: %d queued records, %d waiting keys, %d pending reports; want none", len(r.queue), len(r.waiting), len(r.pendingReports))
	}
}

// TestReportsAreBounded sends more reports than a registry may queue. The queue
// must stay within maxQueue, and the reports above it must be refused as Full.
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
		t.Errorf("%d records queued, want at most maxQueue; %d reports refused, want some", len(r.queue), full)
	}
}
