package clock

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends, whichever is first.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every calls do at once and then once per interval, until ctx ends. Calls never overlap.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
