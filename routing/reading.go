package routing

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// reading follows the prompts of this VM's calls that an engine has not read
// yet, the earliest first. A prompt counts until its call's first token, so the
// queue stays known however fast the engine is. It does not allocate while it
// is as long as before.
type reading struct {
	prompts []prompt
	lastID  uint64
	// movedAt is when the engine last came to another prompt.
	movedAt time.Time
}

// prompt is what an engine has to read of one call.
type prompt struct {
	id       uint64
	tokens   float64
	priority call.Priority
}

// enter adds a call's prompt and gives its number.
func (r *reading) enter(tokens float64, priority call.Priority, now time.Time) uint64 {
	if len(r.prompts) == 0 {
		r.movedAt = now
	}
	r.lastID++
	r.prompts = append(r.prompts, prompt{
		id:       r.lastID,
		tokens:   tokens,
		priority: priority,
	})
	return r.lastID
}

// leave takes a prompt out; it may have left before.
func (r *reading) leave(id uint64, now time.Time) {
	at := slices.IndexFunc(r.prompts, func(p prompt) bool { return p.id == id })
	if at < 0 {
		return
	}
	r.prompts = slices.Delete(r.prompts, at, at+1)
	r.movedAt = now
}

// ahead is how many tokens the engine reads before a call of a priority that is
// sent now, at so many tokens a second. It begins with the earliest prompt, and
// takes waiting ones by priority.
func (r *reading) ahead(priority call.Priority, rate float64, now time.Time) float64 {
	tokens := 0.0
	for i, p := range r.prompts {
		switch {
		case i == 0:
			tokens += max(p.tokens-rate*now.Sub(r.movedAt).Seconds(), 0)
		case p.priority <= priority:
			tokens += p.tokens
		}
	}
	return tokens
}

const (
	// rateForget is the part of what was learnt of the reading rate that each
	// answer takes away: some twenty answers, half a second of a region under load.
	rateForget = 0.05
	// A rate is taken to be rateFirst tokens a second, as if rateFirstTokens had been
	// read at it, until answers tell: engines of stand-ins read 10,000, and large
	// ones 50,000. With 4,000 the expected first token of a region that had just
	// started was up to ten times too late, and calls left it or were refused.
	rateFirst       = 20_000.0
	rateFirstTokens = 2_000.0
)

// rate is how many prompt tokens an engine reads in a second, as a ratio of two
// sums: long prompts tell it best and weigh most.
type rate struct {
	tokens  float64
	seconds float64
}

func newRate() rate {
	return rate{
		tokens:  rateFirstTokens,
		seconds: rateFirstTokens / rateFirst,
	}
}

// add takes that so many tokens were read in so many seconds.
func (r *rate) add(tokens, seconds float64) {
	r.tokens += tokens - rateForget*r.tokens
	r.seconds += seconds - rateForget*r.seconds
}

func (r *rate) perSecond() float64 {
	return r.tokens / r.seconds
}
