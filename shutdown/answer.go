package shutdown

import "time"

// Answer is how long a call is expected to take by the length of its answer.
type Answer struct {
	// Likely is the time within which nine in ten such answers end, Longest the time that an
	// answer of the maximum length takes.
	Likely, Longest time.Duration
}

// Expected returns how long a call is expected to take, given the same by the calls of its route
// if it is known.
func (a Answer) Expected(route time.Duration, known, repeatable bool) time.Duration {
	switch {
	case known && !repeatable:
		return max(a.Likely, route)
	case known:
		return min(max(a.Likely, route), a.Longest)
	case repeatable:
		return min(a.Likely, a.Longest)
	default:
		return a.Longest
	}
}
