// Package borrow decides when a call is sent to another region with spare capacity, how
// much capacity a VM offers to other regions, and which of their calls it accepts.
package borrow

import (
	"slices"
	"time"
)

// Policies of a Request. PolicySurplus is the default; the others are baselines for
// comparison.
const (
	PolicySurplus = "surplus"
	PolicyNever   = "never"
	PolicyAlways  = "always"
)

// defaultPrefillPerSecond is the prefill rate, in tokens per second for an uncached
// prompt, assumed for an offer without one.
const defaultPrefillPerSecond = 4000

// Offer is spare capacity for one target that a VM offers to other regions.
type Offer struct {
	Region string
	VM     string
	Target string
	// TokensPerSecond counts prompt and generated tokens together.
	TokensPerSecond float64
	// Wait is the expected queueing time at the offering VM.
	Wait time.Duration
	// ExpiresAt is when the offer expires.
	ExpiresAt time.Time
	// NetworkDelay is the network delay to the region, filled in by the receiver of the offer.
	NetworkDelay time.Duration
	// PrefillPerSecond is the prefill rate for an uncached prompt; zero means unknown.
	PrefillPerSecond float64
}

// Request is a call that its own region may be unable to serve in time.
type Request struct {
	// Policy is one of the Policy constants; empty means PolicySurplus.
	Policy string
	Target string
	// Regions lists the other regions that the contract allows. It is empty for data that
	// must not leave its region.
	Regions []string
	// Allowed is false if the contract's borrowing share is used up.
	Allowed bool
	// LocalWait is the expected time in the local queue. First is the expected time from
	// there to the first token, and Service to the end of the answer.
	LocalWait       time.Duration
	UntilFirstToken time.Duration
	Service         time.Duration
	// Unavailable is set if the local region has no endpoint for the target.
	Unavailable bool
	// FirstTokenDeadline and Deadline are the deadlines for the first token and for the whole answer;
	// zero means none.
	FirstTokenDeadline time.Time
	Deadline           time.Time
	PromptTokens       int
	MaxTokens          int
	// RateLimiter limits the rate of calls to other regions; nil means no limit.
	RateLimiter *RateLimiter
	// Random is a random number that spreads calls over equivalent offers.
	Random uint64
}

// Decide returns the offer to send the call to. It returns false if the call stays in its
// region, because the contract forbids sending it, the region meets its deadlines, no
// valid offer does, or the RateLimiter limits it.
func Decide(r Request, offers []Offer, now time.Time) (Offer, bool) {
	if r.Policy == PolicyNever || !r.Allowed || len(r.Regions) == 0 {
		return Offer{}, false
	}
	if r.meetsDeadlines(now.Add(r.LocalWait)) && !r.Unavailable {
		return Offer{}, false
	}
	best, ok := r.bestOffer(offers, now)
	if !ok || !r.rateLimited() {
		return best, ok
	}
	return best, r.RateLimiter.Allow(best, r.tokens(), now)
}

// bestOffer returns the offer with the earliest first token among those that meet the
// deadlines and have capacity left.
func (r Request) bestOffer(offers []Offer, now time.Time) (Offer, bool) {
	var best Offer
	found := false
	for i := range offers {
		o := offers[(i+int(r.Random%uint64(len(offers))))%len(offers)]
		if !r.eligible(o, now) || (found && o.delay(r) >= best.delay(r)) {
			continue
		}
		if r.rateLimited() && !r.RateLimiter.HasCapacity(o, now) {
			continue
		}
		best = o
		found = true
	}
	return best, found
}

// rateLimited reports whether the RateLimiter applies to the call.
func (r Request) rateLimited() bool {
	return r.Policy != PolicyAlways && r.RateLimiter != nil
}

// eligible reports whether the offer can serve the call.
func (r Request) eligible(o Offer, now time.Time) bool {
	switch {
	case o.Target != r.Target, !slices.Contains(r.Regions, o.Region):
		return false
	case r.Policy == PolicyAlways:
		return true
	case !o.ExpiresAt.After(now), o.TokensPerSecond <= 0:
		return false
	default:
		return r.meetsDeadlines(now.Add(o.delay(r)))
	}
}

// delay returns the expected extra time until decoding starts in the other region,
// compared with a local endpoint that has the prompt cached: the round trip, the queueing
// time and the prefill.
func (o Offer) delay(r Request) time.Duration {
	rate := o.PrefillPerSecond
	if rate <= 0 {
		rate = defaultPrefillPerSecond
	}
	prefill := time.Duration(float64(r.PromptTokens) / rate * float64(time.Second))
	return 2*o.NetworkDelay + o.Wait + prefill
}

// meetsDeadlines reports whether a call that starts at the given time meets its deadlines.
func (r Request) meetsDeadlines(start time.Time) bool {
	if !r.FirstTokenDeadline.IsZero() && start.Add(r.UntilFirstToken).After(r.FirstTokenDeadline) {
		return false
	}
	return r.Deadline.IsZero() || !start.Add(r.Service).After(r.Deadline)
}

func (r Request) tokens() float64 {
	return float64(r.PromptTokens + r.MaxTokens)
}
