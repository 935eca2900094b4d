//go:build !linux

package clock

import (
	"errors"
	"time"
)

// sinceBoot is known on Linux only; elsewhere suspensions go unseen.
func sinceBoot() (time.Duration, error) {
	return 0, errors.ErrUnsupported
}
