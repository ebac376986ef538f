package pool

import "time"

// coldLimited reports whether a replica is cold and this instance has used up its share
// of the replica's limit. It refills the budget of the replica.
func (p *Pool) coldLimited(now time.Time, r *replica, rate float64) bool {
	if rate <= 0 || !now.Before(r.ColdUntil) {
		r.coldBudgetAt = time.Time{}
		return false
	}
	share := p.LimitGroup.Share(r.hash, p.maxColdSenders(rate))
	if share == 0 {
		return true
	}
	if r.coldBudgetAt.IsZero() {
		r.coldBudget = 1
	} else {
		r.coldBudget = min(1, r.coldBudget+now.Sub(r.coldBudgetAt).Seconds()*rate*share)
	}
	r.coldBudgetAt = now
	return r.coldBudget < 1
}

// maxColdSenders returns the number of instances that may send to a cold replica.
// Each of them may send one request at once in addition to its share of the rate, so
// their number is limited to the requests allowed in excess of the rate.
func (p *Pool) maxColdSenders(rate float64) int {
	return int((p.ColdOvershoot-1)*rate + p.ColdSlack)
}
