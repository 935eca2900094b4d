package origin

import "time"

const (
	// heartbeatTolerance is the least part of the heartbeat interval between two heartbeats,
	// which endpoints keep approximately.
	heartbeatTolerance = 0.75
	// missedHeartbeats is the number of heartbeats without which an entry is removed.
	missedHeartbeats = 3
)

// Write is one change of an endpoint's entry in the history of the store.
type Write struct {
	Endpoint string
	Removed  bool
	// Configuration is set for a change of the configuration.
	Configuration bool
	// Timeout is the longest timeout of a route with streams in that configuration.
	Timeout time.Duration
	// The other fields are those of the entry, which a removal lacks.
	Service     string
	Version     string
	Incarnation int64
	Seq         uint64
	Draining    bool
	// Remaining is how long a draining endpoint keeps running at least; zero means the
	// platform's usual time.
	Remaining time.Duration
	// Other tells the entry's other fields apart.
	Other string
}

// isBeat reports whether an entry is renewed without a change. Changes are written at once,
// out of the beat.
func (w Write) isBeat(next Write) bool {
	next.Seq = w.Seq
	return w == next
}

// History is the changes of entries up to a revision of the store, oldest first and without a
// gap.
type History struct {
	Writes []Write
	// Until is a time at which the store held the last change.
	Until time.Time
	// Since is the time before which all changes that are missing were made; zero if that is
	// not known.
	Since time.Time
	// Whole is set if no change is missing since the store began.
	Whole bool
	// Heartbeat is the interval at which endpoints renew their entries, Drain how long a
	// draining endpoint serves on.
	Heartbeat time.Duration
	Drain     time.Duration
}

// Past is what a history tells of the endpoints of a service.
type Past struct {
	// Since is when the changes are known from.
	Since time.Time

	departures map[departed]time.Time
}

// Past returns what the history tells of a service. Changes have no times, so each departure
// counts at the latest time that the order and the least pauses between changes allow.
func (h History) Past(service string) Past {
	latest := h.latestTimes()
	p := Past{
		Since:      h.knownSince(latest),
		departures: make(map[departed]time.Time),
	}
	entries := make(map[string]Write)
	for i, w := range h.Writes {
		if w.Configuration {
			continue
		}
		before, listed := entries[w.Endpoint]
		if !w.Removed {
			entries[w.Endpoint] = w
		}
		switch {
		case w.Removed && !listed:
			p.departures[departed{}] = latest[i]
		case w.Removed && before.Service == service && !before.Draining:
			p.departures[departed{version: before.Version, known: true}] = latest[i]
		case !w.Removed && w.Service == service && w.Draining:
			p.departures[departed{version: w.Version, known: true}] = latest[i]
		case !w.Removed && listed && before.Service == service && (before.Incarnation != w.Incarnation || before.Version != w.Version || w.Service != service):
			p.departures[departed{version: before.Version, known: true}] = latest[i]
		}
		if w.Removed {
			delete(entries, w.Endpoint)
		}
	}
	return p
}

// knownSince returns when the changes are known from.
func (h History) knownSince(latest []time.Time) time.Time {
	since := h.Until
	if len(latest) > 0 {
		since = latest[0]
	}
	if h.Whole || (!h.Since.IsZero() && h.Since.Before(since)) {
		since = h.Since
	}
	return since
}

// ConfigurationSince returns since when the last configuration has been in force at the least.
func (h History) ConfigurationSince() time.Time {
	latest := h.latestTimes()
	for i := len(h.Writes) - 1; i >= 0; i-- {
		if h.Writes[i].Configuration {
			return latest[i]
		}
	}
	return h.knownSince(latest)
}

// Timeouts is what a history tells of the timeouts of streams.
type Timeouts struct {
	// Longest is the longest that is known.
	Longest time.Duration
	// Since is the time from which on all are known.
	Since time.Time
}

// Timeouts returns what the history tells of the timeouts of streams.
func (h History) Timeouts() Timeouts {
	latest := h.latestTimes()
	t := Timeouts{
		Since: h.knownSince(latest),
	}
	isFirst := true
	for i, w := range h.Writes {
		if !w.Configuration {
			continue
		}
		// The configuration before the first that is left is unknown, unless nothing is missing.
		if isFirst && !h.Whole {
			t.Since = latest[i]
		}
		isFirst = false
		t.Longest = max(t.Longest, w.Timeout)
	}
	return t
}

// latestTimes returns the latest time at which each change can have been made.
func (h History) latestTimes() []time.Time {
	latest := make([]time.Time, len(h.Writes))
	// next is the index of the next change of an endpoint's entry.
	next := make(map[string]int)
	inBeat := h.inBeat()
	at := h.Until
	for i := len(h.Writes) - 1; i >= 0; i-- {
		w := h.Writes[i]
		if j, ok := next[w.Endpoint]; ok {
			if bound := latest[j].Add(-h.leastPause(w, h.Writes[j], inBeat[i])); bound.Before(at) {
				at = bound
			}
		}
		next[w.Endpoint] = i
		latest[i] = at
	}
	return latest
}

// inBeat tells which writes are heartbeats, or the first of an endpoint's life.
func (h History) inBeat() []bool {
	out := make([]bool, len(h.Writes))
	last := make(map[string]Write)
	for i, w := range h.Writes {
		before, known := last[w.Endpoint]
		out[i] = w.Seq == 1 || (known && before.isBeat(w))
		last[w.Endpoint] = w
	}
	return out
}

// leastPause returns the least time between two successive changes of an endpoint's entry.
// Sequence numbers between them are those of heartbeats, as the history has no gap. The first
// heartbeat after a write out of the beat, and such a write after a heartbeat, may follow at once.
func (h History) leastPause(w, next Write, inBeat bool) time.Duration {
	switch {
	case w.Removed || w.Configuration:
		return 0
	case next.Removed && w.Draining:
		// The endpoint has stopped in its own time, or crashed and was removed for its silence.
		pause := min(h.Drain, missedHeartbeats*h.Heartbeat)
		if w.Remaining > 0 {
			pause = min(pause, w.Remaining)
		}
		return pause
	case next.Removed || next.Incarnation != w.Incarnation || next.Seq <= w.Seq:
		return 0
	default:
		beats := int64(next.Seq - w.Seq)
		if !inBeat {
			beats--
		}
		if !w.isBeat(next) {
			beats--
		}
		return time.Duration(float64(max(beats, 0)) * heartbeatTolerance * float64(h.Heartbeat))
	}
}
