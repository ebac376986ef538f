//go:build !cgo

package clock

import "golang.org/x/sys/unix"

func bootTime() (seconds, nanos int64, err error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, 0, err
	}
	return ts.Sec, ts.Nsec, nil
}
