package answertime

import "time"

// statedTTL is the age at which a stated slowdown is worth nothing. Replicas on shared machines
// change their speed several times a second.
const statedTTL = 300 * time.Millisecond

// speedPrior is the number of observations that the usual speed counts as. Gaps between events
// vary by a factor of two at the same load, so a few of them say little.
const speedPrior = 10

// Bounds of a learned slowdown.
const (
	minSlowdown = 0.25
	maxSlowdown = 4
)

// Speed is the speed of one replica. The zero value is the usual speed.
type Speed struct {
	ratio    mean
	stated   float64
	statedAt time.Time
}

// State records a slowdown that the replica stated; 1 is usual.
func (s *Speed) State(now time.Time, slowdown float64) {
	if slowdown > 0 {
		s.stated, s.statedAt = slowdown, now
	}
}

// observe records how many times longer than usual something took.
func (s *Speed) observe(now time.Time, ratio float64) {
	s.ratio.observe(now, min(max(ratio, minSlowdown), maxSlowdown))
}

// Lasting returns how many times longer than usual work takes in the long run.
func (s *Speed) Lasting(now time.Time) float64 {
	return s.ratio.value(now, 1, speedPrior)
}

// Now returns how many times longer than usual work takes now: what the replica stated, and
// with the age of that more and more of what was learned.
func (s *Speed) Now(now time.Time) float64 {
	lasting := s.Lasting(now)
	age := now.Sub(s.statedAt)
	if s.stated <= 0 || age >= statedTTL {
		return lasting
	}
	weight := 1 - float64(max(age, 0))/float64(statedTTL)
	return weight*s.stated + (1-weight)*lasting
}
