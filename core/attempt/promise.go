package attempt

// Statuses of HTTP by which a response states that its request has not run and never will.
const (
	statusRequestTimeout     = 408
	statusMisdirected        = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
	// statusBadGateway states nothing about that.
	statusBadGateway = 502
)

// PromisesNotRun reports whether a caller takes a status for the promise that its request has
// not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusServiceUnavailable:
		return true
	}
	return false
}

// IsFinal reports whether a status is one of a final response. Any other one, such as that of an
// informational response, states no outcome.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }

// FinalStatus returns the status that a caller may get for a request, given the one that an
// upstream or this instance chose: no promise that the run state does not bear out.
func FinalStatus(status int, run RunState) int {
	if run != NotRun && PromisesNotRun(status) {
		return statusBadGateway
	}
	return status
}
