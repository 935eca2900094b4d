package limit

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// dimension is one of the limits that are token buckets.
type dimension int

const (
	requests dimension = iota
	tokens
	spend
	borrowed
	dimensions
)

// levels are amounts of all buckets, or their rates per second.
type levels [dimensions]float64

// windows are the seconds for which each limit may be saved up.
var windows = levels{
	requests: 1,
	tokens:   1,
	spend:    60,
	borrowed: 1,
}

// refusals are the code and message for each bucket.
var refusals = [dimensions]struct {
	code    result.Code
	message string
}{
	requests: {
		code:    result.LimitRequests,
		message: "the contract's requests per second are used up",
	},
	tokens: {
		code:    result.LimitTokens,
		message: "the contract's tokens per second are used up",
	},
	spend: {
		code:    result.LimitSpend,
		message: "the contract's spend per hour is used up",
	},
	borrowed: {
		code:    result.LimitBorrow,
		message: "the contract's borrowing share is used up",
	},
}

const (
	secondsPerHour = 3600
	// rounding is the part of a need that floating point may lose.
	rounding = 1e-9
	// farAway bounds the time to come back that a refusal names.
	farAway = 365 * 24 * time.Hour
)

func levelsOf(a *Amounts) levels {
	return levels{
		requests: a.Requests,
		tokens:   a.Tokens,
		spend:    a.Spend,
		borrowed: a.Borrowed,
	}
}

func (v levels) amounts() Amounts {
	return Amounts{
		Requests: v[requests],
		Tokens:   v[tokens],
		Spend:    v[spend],
		Borrowed: v[borrowed],
	}
}

func rates(t *contract.RegionTerms) levels {
	return levels{
		requests: t.RequestsPerSecond,
		tokens:   t.TokensPerSecond,
		spend:    t.SpendPerHour / secondsPerHour,
		borrowed: t.TokensPerSecond * t.BorrowShare,
	}
}

// account holds one workspace's buckets at one VM.
type account struct {
	// level is what each bucket holds; a negative one is a debt.
	level levels
	rate  levels
	share float64
	// capacity is what the buckets hold at full share.
	capacity levels
	// filledAt is the time up to which the buckets were filled; zero for a new account.
	filledAt time.Time
	usedAt   time.Time
	inFlight int
	// leases is nil unless the workspace is served by more VMs than its owner.
	leases *leases
}

// refill brings the buckets up to now. Time counts only while the share was
// held without a gap, at the lower of two rates when the contract changed, and
// a bucket holds at most its window at the present rate and share.
func (a *account) refill(r *Request, now time.Time) {
	rate := rates(&r.Terms)
	if a.filledAt.IsZero() {
		a.open(r, rate, now)
	}
	capacity := r.capacity(rate)
	floor, held := a.held(r, now)
	for d := range a.level {
		most := capacity[d] * r.Share
		kept := min(a.level[d], min(capacity[d], a.capacity[d])*floor)
		a.level[d] = min(kept+min(rate[d], a.rate[d])*held, most)
	}
	a.rate = rate
	a.capacity = capacity
	a.share = r.Share
	if now.After(a.filledAt) {
		a.filledAt = now
	}
	a.usedAt = a.filledAt
}

// capacity returns what the buckets hold at full share.
func (r *Request) capacity(rate levels) levels {
	out := levelsOf(&r.Burst)
	for d := range out {
		if out[d] <= 0 {
			out[d] = rate[d] * windows[d]
		}
	}
	return out
}

// open starts an account at the time from which its share was held, empty but for
// the part that the request names.
func (a *account) open(r *Request, rate levels, now time.Time) {
	a.rate = rate
	a.share = r.Share
	a.capacity = r.capacity(rate)
	for d := range a.level {
		a.level[d] = a.capacity[d] * r.Share * r.Opening
	}
	a.filledAt = now
	switch {
	case r.Base > 0 && !r.BaseSince.IsZero():
		a.filledAt = r.BaseSince
	case !r.Since.IsZero():
		a.filledAt = r.Since
	}
}

// held returns the least share held since the last refill, and the integral of
// the share over that time in seconds.
func (a *account) held(r *Request, now time.Time) (floor, seconds float64) {
	if r.Since.IsZero() {
		floor = min(a.share, r.Share)
		return floor, floor * span(a.filledAt, now)
	}
	since := moment.Later(a.filledAt, r.Since)
	seconds = r.Share * span(since, now)
	if !a.filledAt.Before(r.Since) {
		return r.Share, seconds
	}
	seconds += r.Base * span(moment.Later(a.filledAt, r.BaseSince), since)
	if a.filledAt.Before(r.BaseSince) {
		return 0, seconds
	}
	return r.Base, seconds
}

func span(from, to time.Time) float64 {
	return max(to.Sub(from).Seconds(), 0)
}

// shortage says what a cost lacks; the zero value lacks nothing.
type shortage struct {
	code    result.Code
	message string
	at      time.Time
}

func (s *shortage) none() bool {
	return s.code == 0
}

func (s *shortage) refusal() *result.Refusal {
	return &result.Refusal{
		Code:       s.code,
		Message:    s.message,
		ComeBackAt: s.at,
	}
}

// shortage finds the limit that would admit the cost last. A cost above what
// its bucket can hold is admitted from a full bucket and leaves a debt.
func (a *account) shortage(r *Request, now time.Time) shortage {
	if r.Share <= 0 {
		return shortage{
			code:    result.LimitNoShare,
			message: "this VM holds no share of the workspace's limit now",
		}
	}
	cost := levelsOf(&r.Cost)
	worst := shortage{}
	for d, c := range cost {
		if c <= 0 {
			continue
		}
		rate := a.rate[d] * r.Share
		lack := min(c, a.capacity[d]*r.Share)*(1-rounding) - a.level[d]
		if rate > 0 && lack <= 0 {
			continue
		}
		at := comeBack(lack, rate, a.filledAt)
		if worst.none() || at.IsZero() || (!worst.at.IsZero() && at.After(worst.at)) {
			worst = shortage{
				code:    refusals[d].code,
				message: refusals[d].message,
				at:      at,
			}
		}
	}
	if worst.none() && r.Cost.Concurrency > 0 && a.inFlight+a.leases.slots(now)+r.Cost.Concurrency > slots(r.Terms.Concurrency, r.Share) {
		return shortage{
			code:    result.LimitConcurrency,
			message: "the contract's calls in flight are all in use",
		}
	}
	return worst
}

// comeBack returns the time at which a bucket has filled up by lack; it is zero
// when it never will.
func comeBack(lack, rate float64, filledAt time.Time) time.Time {
	if rate <= 0 {
		return time.Time{}
	}
	wait := math.Ceil(lack / rate * float64(time.Second))
	return filledAt.Add(time.Duration(min(wait, float64(farAway))) + 1)
}

// slots returns the calls in flight that a share allows. A fraction is rounded
// down, or up for a share above one half: of all holders of a workspace's
// limit only one can hold that much, so the sum stays within the limit.
func slots(concurrency int, share float64) int {
	exact := float64(concurrency) * share
	if share > 0.5 {
		return min(int(math.Ceil(exact-rounding)), concurrency)
	}
	return int(exact + rounding)
}

func (a *account) charge(cost *Amounts) {
	for d, c := range levelsOf(cost) {
		a.level[d] -= c
	}
	a.inFlight += cost.Concurrency
}

// filled returns the part, at most 1, that the least filled bucket holds of those
// that a cost draws on.
func (a *account) filled(r *Request) float64 {
	least := 1.0
	for d, c := range levelsOf(&r.Cost) {
		if most := a.capacity[d] * r.Share; c != 0 && most > 0 {
			least = min(least, a.level[d]/most)
		}
	}
	return least
}

// giveBack returns the difference between a charge and its use.
func (a *account) giveBack(r *Reservation, used Amounts, now time.Time) {
	charged := levelsOf(&r.Charged)
	spent := levelsOf(&used)
	if r.Leased {
		a.leases.giveBack(charged, spent, r.Charged.Concurrency, now)
		return
	}
	for d := range a.level {
		// A later refill bounds the level to what the share then allows.
		a.level[d] += charged[d] - spent[d]
	}
	a.inFlight -= r.Charged.Concurrency
}

// idle reports whether a new account would hold the same.
func (a *account) idle(now time.Time) bool {
	return a.inFlight == 0 && a.leases.idle(now) && now.Sub(a.usedAt) > idleBeforeSweep && a.level.paid()
}

func (v *levels) paid() bool {
	for _, level := range v {
		if level < 0 {
			return false
		}
	}
	return true
}
