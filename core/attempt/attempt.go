// Package attempt tracks one attempt to send a request to an upstream, so that a
// request is reported as not run only if the upstream certainly did not run it.
package attempt

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// RunState says whether an upstream ran a request, as far as that is known.
type RunState string

// The run states. With the first write to an upstream connection, the state changes
// from NotRun to Unknown.
const (
	NotRun  RunState = "not-run"
	Ran     RunState = "run"
	Unknown RunState = "unknown"
)

// Errors that Begin returns. The write must not happen then.
var (
	ErrDeadline = errors.New("the request's deadline has passed")
	ErrRevoked  = errors.New("the request was given up before it was sent")
)

const (
	idle int32 = iota
	written
	refused
	completed
	revoked
)

// Attempt is the state of one attempt. The zero value is not yet written and has
// no deadline. It is safe for concurrent use once the exported fields are set.
type Attempt struct {
	// Deadline is the time by which the first write must start. Zero means none.
	Deadline time.Time
	// Guard, if set, is called right before the first write. An error from it
	// revokes the attempt.
	Guard func(now time.Time) error
	state atomic.Int32
}

// Begin must be called right before each write to an upstream connection. If it
// returns an error, the write must not happen. Once the first write is allowed,
// later ones are too, until the upstream has refused the request or has sent a
// complete response.
func (a *Attempt) Begin(now time.Time) error {
	if a.state.Load() == written {
		return nil
	}
	if !a.Deadline.IsZero() && !now.Before(a.Deadline) {
		a.state.CompareAndSwap(idle, revoked)
		return ErrDeadline
	}
	if a.Guard != nil {
		if err := a.Guard(now); err != nil {
			a.state.CompareAndSwap(idle, revoked)
			return fmt.Errorf("%w: %w", ErrRevoked, err)
		}
	}
	if !a.state.CompareAndSwap(idle, written) {
		return ErrRevoked
	}
	return nil
}

// Revoke forbids the first write, unless Begin has allowed it already. It reports
// whether the attempt is revoked, now or from an earlier call.
func (a *Attempt) Revoke() bool {
	return a.state.CompareAndSwap(idle, revoked) || a.state.Load() == revoked
}

// MarkRefused records that the upstream provably refused the request before it ran
// it. It has no effect before the first write.
func (a *Attempt) MarkRefused() { a.state.CompareAndSwap(written, refused) }

// MarkCompleted records that the complete response has arrived. It has no effect
// before the first write or after a refusal.
func (a *Attempt) MarkCompleted() { a.state.CompareAndSwap(written, completed) }

// RunState returns the current run state.
func (a *Attempt) RunState() RunState {
	switch a.state.Load() {
	case idle, revoked, refused:
		return NotRun
	case completed:
		return Ran
	default:
		return Unknown
	}
}
