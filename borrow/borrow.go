// Package borrow decides when a call leaves its region for another one's
// surplus, what a VM offers to other regions, and which strangers it takes.
package borrow

import (
	"slices"
	"time"
)

// The policies that Request names. PolicySurplus is the default; the others are
// baselines to compare it with.
const (
	PolicySurplus = "surplus"
	PolicyNever   = "never"
	PolicyAlways  = "always"
)

// prefillPerSecond is the speed of a cold prompt where an offer names none, in tokens.
const prefillPerSecond = 4000

// Offer is capacity for one target that a VM offers to other regions.
type Offer struct {
	Region string
	VM     string
	Target string
	// TokensPerSecond counts prompt and generated tokens together.
	TokensPerSecond float64
	// Wait is the expected time in the queue there.
	Wait time.Duration
	// Until ends the offer.
	Until time.Time
	// OneWay is the delay to the region; the asking side fills it in.
	OneWay time.Duration
	// PrefillPerSecond is the speed of a cold prompt there; zero means unknown.
	PrefillPerSecond float64
}

// Request is one call that its own region may not serve in time.
type Request struct {
	// Policy is one of the constants; empty means PolicySurplus.
	Policy string
	Target string
	// Regions are the other regions that the contract allows; none for bound data.
	Regions []string
	// Allowed is false when the contract's borrowing share is used up.
	Allowed bool
	// LocalWait is the expected time in the own queue, First from there to the
	// first token and Service to the end of the answer.
	LocalWait time.Duration
	First     time.Duration
	Service   time.Duration
	// Unavailable is set when the own region has no endpoint for the target.
	Unavailable bool
	// FirstBy and WholeBy are deadlines; a zero time means none.
	FirstBy      time.Time
	WholeBy      time.Time
	PromptTokens int
	MaxTokens    int
	// Damper limits what leaves; nil means no limit.
	Damper *Damper
	// Draw is a random number that spreads calls over offers that are equal.
	Draw uint64
}

// Decide names the offer to send the call to. It returns false when the call
// stays: the contract forbids it, the own region meets the deadline, no fresh
// offer does, or the damper holds it back.
func Decide(r Request, offers []Offer, now time.Time) (Offer, bool) {
	if r.Policy == PolicyNever || !r.Allowed || len(r.Regions) == 0 {
		return Offer{}, false
	}
	if r.meets(now.Add(r.LocalWait)) && !r.Unavailable {
		return Offer{}, false
	}
	best, ok := r.best(offers, now)
	if !ok || !r.damped() {
		return best, ok
	}
	return best, r.Damper.Allow(best, r.tokens(), now)
}

// best returns the offer with the earliest first token among those that serve in
// time and that the damper leaves open.
func (r Request) best(offers []Offer, now time.Time) (Offer, bool) {
	var best Offer
	found := false
	for i := range offers {
		o := offers[(i+int(r.Draw%uint64(len(offers))))%len(offers)]
		if !r.fits(o, now) || (found && o.delay(r) >= best.delay(r)) {
			continue
		}
		if r.damped() && !r.Damper.Open(o, now) {
			continue
		}
		best = o
		found = true
	}
	return best, found
}

// damped reports whether the damper limits the call.
func (r Request) damped() bool {
	return r.Policy != PolicyAlways && r.Damper != nil
}

// fits reports whether the offer can be used for the call.
func (r Request) fits(o Offer, now time.Time) bool {
	switch {
	case o.Target != r.Target, !slices.Contains(r.Regions, o.Region):
		return false
	case r.Policy == PolicyAlways:
		return true
	case !o.Until.After(now), o.TokensPerSecond <= 0:
		return false
	default:
		return r.meets(now.Add(o.delay(r)))
	}
}

// delay is the expected time from now to the start of decoding at the other
// region beyond what a warm endpoint here needs: the way there and back, the
// wait there and a cold prefill.
func (o Offer) delay(r Request) time.Duration {
	rate := o.PrefillPerSecond
	if rate <= 0 {
		rate = prefillPerSecond
	}
	cold := time.Duration(float64(r.PromptTokens) / rate * float64(time.Second))
	return 2*o.OneWay + o.Wait + cold
}

// meets reports whether a call that starts at the moment is on time.
func (r Request) meets(start time.Time) bool {
	if !r.FirstBy.IsZero() && start.Add(r.First).After(r.FirstBy) {
		return false
	}
	return r.WholeBy.IsZero() || !start.Add(r.Service).After(r.WholeBy)
}

func (r Request) tokens() float64 {
	return float64(r.PromptTokens + r.MaxTokens)
}
