package survey

import "time"

const (
	// minProgressTime is the least time between two reports that are compared. A run emits an
	// event each 60 to 900 ms, so that the counts of a shorter time are mostly rounding.
	minProgressTime = 500 * time.Millisecond
	// maxProgressTime is the longest time between two reports that are compared. It covers
	// two missed polls of a busy engine.
	maxProgressTime = 3500 * time.Millisecond
	// maxTokenTime bounds the time per token. Engines that emit no event between two reports
	// have this one at most.
	maxTokenTime = time.Second
)

// Progress derives the time per generated token of one engine from its successive reports. The
// zero value knows no report.
type Progress struct {
	incarnation int64
	at          time.Time
	events      map[string]int
	tokenTime   time.Duration
}

// Update returns the time per generated token since the previous report, over all runs that
// both list; zero if that is unknown. events is the number of events by the runs' IDs and
// tokensPerEvent the number of tokens of one event.
func (p *Progress) Update(incarnation int64, events map[string]int, tokensPerEvent int, at time.Time) time.Duration {
	passed := at.Sub(p.at)
	related := p.incarnation == incarnation && passed >= 0 && passed <= maxProgressTime
	if related && passed < minProgressTime {
		return p.tokenTime
	}
	tokenTime := time.Duration(0)
	if related {
		tokenTime = perToken(p.events, events, tokensPerEvent, passed)
	}
	*p = Progress{
		incarnation: incarnation,
		at:          at,
		events:      events,
		tokenTime:   tokenTime,
	}
	return tokenTime
}

// perToken returns the mean time per token of the runs that are in both reports.
func perToken(before, after map[string]int, tokensPerEvent int, passed time.Duration) time.Duration {
	runs, tokens := 0, 0
	for id, events := range after {
		if earlier, ok := before[id]; ok && events >= earlier {
			runs++
			tokens += (events - earlier) * tokensPerEvent
		}
	}
	if runs == 0 || tokensPerEvent <= 0 {
		return 0
	}
	return min(passed*time.Duration(runs)/time.Duration(max(tokens, 1)), maxTokenTime)
}
