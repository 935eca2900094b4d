package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads the kernel's clock that goes on while the VM is suspended.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
