package clock

import (
	"context"
	"time"
)

// Pause waits for a time, or until ctx ends.
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

// Every calls do at once and then after each pause, until ctx ends.
func Every(ctx context.Context, pause time.Duration, do func()) {
	ticker := time.NewTicker(pause)
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
