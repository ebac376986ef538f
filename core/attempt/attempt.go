// Package attempt tracks one request to an upstream, so that "not run" is said
// only while it is true.
package attempt

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// RunState is what is known about whether a request was run.
type RunState string

// The statements on a request. The one transition after which NotRun is no
// longer allowed is the first write to an upstream connection.
const (
	NotRun  RunState = "not-run"
	Ran     RunState = "run"
	Unknown RunState = "unknown"
)

// Errors of Begin. In each case nothing was written.
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

// Attempt is the state of one request. The zero value is not yet written and
// has no deadline. It is safe for concurrent use.
type Attempt struct {
	// Deadline is the last moment at which the first write may start.
	Deadline time.Time
	// Guard, if set, is asked right before the first write.
	Guard func(now time.Time) error
	state atomic.Int32
}

// Begin is called right before the first write to an upstream connection. If
// it returns an error, the write must not happen.
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

// Revoke forbids the write if it has not begun, and reports whether it did.
func (a *Attempt) Revoke() bool {
	return a.state.CompareAndSwap(idle, revoked) || a.state.Load() == revoked
}

// MarkRefused notes that the upstream provably refused the request before running it.
func (a *Attempt) MarkRefused() { a.state.CompareAndSwap(written, refused) }

// MarkCompleted notes that the upstream's whole answer is there.
func (a *Attempt) MarkCompleted() { a.state.CompareAndSwap(written, completed) }

// RunState returns the statement that is true now.
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
