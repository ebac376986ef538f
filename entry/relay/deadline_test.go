package relay

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestDeadlineWithoutTheCallersTime guards against cutting a response that is ready because its
// caller reads slowly, and against a caller that occupies a replica without end.
func TestDeadlineWithoutTheCallersTime(t *testing.T) {
	for _, c := range []struct {
		name string
		// blocked is how long a write that begins after a second takes.
		blocked, ends time.Duration
	}{
		{"the caller reads at once", 0, 10 * time.Second},
		{"the caller reads late", 4 * time.Second, 14 * time.Second},
		{"the caller reads after the deadline", 12 * time.Second, 22 * time.Second},
		{"the caller does not read", time.Hour, 10*time.Second + maxUnreadTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				d := newCallerDeadline(t.Context(), 10*time.Second)
				defer d.stop()
				time.Sleep(time.Second)
				d.beginWrite()
				time.AfterFunc(c.blocked, d.endWrite)
				<-d.Done()
				if got := time.Since(start); got != c.ends {
					t.Errorf("ended after %v, want %v", got, c.ends)
				}
			})
		})
	}
}
