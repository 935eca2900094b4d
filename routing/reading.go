package routing

import (
	"slices"
	"time"
)

// reading follows the prompts that an engine has not read yet: those of this
// VM's calls, the earliest first, and what other VMs of the region tell of theirs.
// A prompt counts until its call's first token, so the queue stays known however
// fast the engine is. It does not allocate while it is as long as before.
type reading struct {
	prompts []prompt
	lastID  uint64
	// movedAt is when the engine last came to another prompt.
	movedAt time.Time
	others  []otherReading
}

// prompt is what an engine has to read of one call.
type prompt struct {
	id     uint64
	tokens float64
	turn   int
	sentAt time.Time
}

// otherReading is what another VM told of its own prompts.
type otherReading struct {
	vm      string
	prompts []prompt
	movedAt time.Time
	// at is as of when it told.
	at time.Time
}

// otherGoodFor is how long a VM's word is used: it tells again within a third of
// that while anything waits.
const otherGoodFor = 600 * time.Millisecond

func (o *otherReading) counts(now time.Time) bool {
	return len(o.prompts) > 0 && now.Sub(o.at) <= otherGoodFor
}

// enter adds a call's prompt and gives its number.
func (r *reading) enter(tokens float64, turn int, now time.Time) uint64 {
	r.lastID++
	r.prompts = append(r.prompts, prompt{
		id:     r.lastID,
		tokens: tokens,
		turn:   turn,
		sentAt: now,
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

// hear takes what another VM tells as of a moment.
func (r *reading) hear(o otherReading) {
	at := slices.IndexFunc(r.others, func(other otherReading) bool { return other.vm == o.vm })
	if at < 0 {
		r.others = append(r.others, o)
		return
	}
	if o.at.After(r.others[at].at) {
		r.others[at] = o
	}
}

// forget drops what a VM told.
func (r *reading) forget(vm string) {
	r.others = slices.DeleteFunc(r.others, func(o otherReading) bool { return o.vm == vm })
}

// ahead is how many tokens the engine reads before a call at a place in the order that is
// sent now, at so many tokens a second. It begins with the earliest prompt, and
// takes waiting ones in their order. own is the part of this VM's calls.
func (r *reading) ahead(turn int, rate float64, now time.Time) (all, own float64) {
	q := ahead{
		turn:    turn,
		movedAt: r.movedAt,
	}
	for i := range r.prompts {
		q.add(&r.prompts[i])
	}
	own = q.left(rate, now)
	for i := range r.others {
		o := &r.others[i]
		if !o.counts(now) {
			continue
		}
		if o.movedAt.After(q.movedAt) {
			q.movedAt = o.movedAt
		}
		for j := range o.prompts {
			q.add(&o.prompts[j])
		}
	}
	return q.left(rate, now), own
}

// behind is how many calls without a first token go after one at a place in the
// order, also if the first of them is being read.
func (r *reading) behind(turn int, now time.Time) int {
	n := countAfter(r.prompts, turn)
	for i := range r.others {
		if r.others[i].counts(now) {
			n += countAfter(r.others[i].prompts, turn)
		}
	}
	return n
}

func countAfter(prompts []prompt, turn int) int {
	n := 0
	for i := range prompts {
		if prompts[i].turn > turn {
			n++
		}
	}
	return n
}

// ahead adds up prompts, of which the earliest is being read.
type ahead struct {
	turn    int
	movedAt time.Time
	tokens  float64
	first   *prompt
}

func (a *ahead) add(p *prompt) {
	if a.first == nil || p.sentAt.Before(a.first.sentAt) {
		a.first = p
	}
	if p.turn <= a.turn {
		a.tokens += p.tokens
	}
}

// left is the sum, with the first prompt whatever its turn, but without what
// was read of that.
func (a *ahead) left(rate float64, now time.Time) float64 {
	if a.first == nil {
		return 0
	}
	tokens := a.tokens
	if a.first.turn > a.turn {
		tokens += a.first.tokens
	}
	since := a.movedAt
	if a.first.sentAt.After(since) {
		since = a.first.sentAt
	}
	return tokens - min(rate*max(now.Sub(since).Seconds(), 0), a.first.tokens)
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
