package sharedcall

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestDo checks that callers share a call that began after they asked, that calls keep their
// pause, and that all callers who waited get its error.
func TestDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s SharedCall
		var calls, failed atomic.Int64
		errAway := errors.New("away")
		ask := func() {
			err := s.Do(context.Background(), time.Now, time.Now(), 200*time.Millisecond, time.Second, func(context.Context, time.Time) error {
				calls.Add(1)
				time.Sleep(50 * time.Millisecond)
				return errAway
			})
			if errors.Is(err, errAway) {
				failed.Add(1)
			}
		}
		for range 100 {
			go ask()
		}
		time.Sleep(time.Second)
		is.True(calls.Load() <= 2)
		is.Equal(failed.Load(), int64(100))
		ask()
		is.True(calls.Load() <= 3)
		// A caller that gives up does not wait for the pause.
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		began := time.Now()
		is.True(s.Do(ctx, time.Now, time.Now(), time.Hour, time.Second, func(context.Context, time.Time) error { return nil }) != nil)
		is.Equal(time.Since(began), time.Millisecond)
	})
}
