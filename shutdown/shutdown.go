// Package shutdown decides which calls a stopping VM begins. A call that is cut off when the
// process ends may have run, while one that is refused certainly has not.
package shutdown

import "time"

// Stop is a planned stop of a VM.
type Stop struct {
	// Cutoff is when the calls that are still in flight are cut off.
	Cutoff time.Time
	// DeadlineOnlyAt is when only calls that end by their own deadline may still begin.
	DeadlineOnlyAt time.Time
}

// Call is a call that arrives at a stopping VM.
type Call struct {
	// Deadline is when the call ends at the latest; zero means none.
	Deadline time.Time
	// Expected is how long the call is expected to take, if Known.
	Expected time.Duration
	Known    bool
	// Repeatable is set if the call may run again, or its stream may be resumed.
	Repeatable bool
}

// Admits reports whether a call that arrives now may begin. A call that runs once may not begin
// if nothing is known of its duration.
func (s Stop) Admits(c Call, now time.Time) bool {
	switch {
	case !now.Before(s.Cutoff):
		return false
	case !c.Deadline.IsZero() && !c.Deadline.After(s.Cutoff):
		return true
	case !now.Before(s.DeadlineOnlyAt):
		return false
	case !c.Known:
		return c.Repeatable
	default:
		return !now.Add(c.Expected).After(s.Cutoff)
	}
}
