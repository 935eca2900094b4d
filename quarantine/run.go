package quarantine

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// healthyAnswerDuration is how long an endpoint must have been answering a call for a
// later crash not to be attributed to it. A harmful call crashes its endpoint within some
// 0.1 s of starting to run.
const healthyAnswerDuration = 2 * time.Second

// SoundAnswerDuration is how long an endpoint must have been answering a call for its
// subjects to count as answered.
const SoundAnswerDuration = time.Second

// Run is how an endpoint ran a call, as far as it is known.
type Run struct {
	// Subjects are those of the call. They must not change.
	Subjects []call.Subject
	Endpoint fleet.Endpoint
	// BeganAt is when the answer began; zero if it had not.
	BeganAt time.Time
	// OpenAt is when the answer's connection was last known to be open. Its end may be
	// read long after.
	OpenAt time.Time
	// StillOpen reports whether that connection is still open; nil if that is not known.
	StillOpen func() bool
}

// MayHaveCrashed reports whether a call whose answer began at beganAt, and whose connection
// was open at openAt, may have crashed its endpoint. A zero beganAt means that the answer
// never began.
func MayHaveCrashed(beganAt, openAt time.Time) bool {
	return beganAt.IsZero() || openAt.Sub(beganAt) < healthyAnswerDuration
}

// IsSound reports whether an answer that began at beganAt, and whose connection was open at
// openAt, has gone on for long enough. An unknown beganAt is zero.
func IsSound(beganAt, openAt time.Time) bool {
	return !beganAt.IsZero() && openAt.Sub(beganAt) >= SoundAnswerDuration
}
