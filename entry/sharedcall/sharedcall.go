// Package sharedcall lets requests that need the same fact at about the same time share one
// call for it.
package sharedcall

import (
	"context"
	"sync"
	"time"

	"crocusfold.dev/shell/clock"
)

// SharedCall is a call that is repeated whenever its result is too old for a caller. The zero
// value is ready for use. It is safe for concurrent use.
type SharedCall struct {
	once sync.Once
	// turn has one token, which a caller holds during a call. It is a channel and not a
	// mutex, so that callers can give up.
	turn chan struct{}
	// at is when the last call began, and err its error.
	at  time.Time
	err error
}

// Do makes the call, or returns the result of one that began at asOf or later. Callers wait
// for a call that runs, and calls begin at least interval apart. A call has up to timeout and
// goes on when the request that began it ends, since others wait for it too. The previous
// call began at the time that it gets, which is zero for the first.
func (s *SharedCall) Do(ctx context.Context, now func() time.Time, asOf time.Time, interval, timeout time.Duration, call func(ctx context.Context, previous time.Time) error) error {
	s.once.Do(func() { s.turn = make(chan struct{}, 1) })
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !s.at.IsZero() && !s.at.Before(asOf) {
		return s.err
	}
	if !s.at.IsZero() {
		clock.Pause(ctx, s.at.Add(interval).Sub(now()))
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	previous := s.at
	s.at = now()
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	s.err = call(callCtx, previous)
	return s.err
}
