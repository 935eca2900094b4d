//go:build !linux

package clock

import (
	"errors"
	"time"
)

// sinceBoot is supported on Linux only; elsewhere suspensions are not detected.
func sinceBoot() (time.Duration, error) {
	return 0, errors.ErrUnsupported
}
