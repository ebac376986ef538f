package attempt

// ProvesNotRun reports whether a response that states that its request was not run belongs
// to the request with the id want. A faulty server may write an earlier refusal once more
// on a kept connection. A refusal without an id (got is empty) proves nothing if one came on
// the connection before.
func ProvesNotRun(want, got string, refusedBefore bool) bool {
	if got != "" {
		return got == want
	}
	return !refusedBefore
}
