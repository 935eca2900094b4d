package limit

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// dimension identifies one of the token buckets of an account.
type dimension int

const (
	requests dimension = iota
	tokens
	spend
	borrowed
	dimensions
)

// vector holds one value per bucket: an amount, or a rate per second.
type vector [dimensions]float64

// burstSeconds is the default capacity of each bucket, in seconds of its refill rate.
var burstSeconds = vector{
	requests: 1,
	tokens:   1,
	spend:    60,
	borrowed: 1,
}

// refusals holds the result code and message for each exhausted bucket.
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
	// epsilon is the relative tolerance for floating-point rounding.
	epsilon = 1e-9
	// maxRetryDelay caps the retry time of a refusal.
	maxRetryDelay = 365 * 24 * time.Hour
)

func vectorOf(a *Amounts) vector {
	return vector{
		requests: a.Requests,
		tokens:   a.Tokens,
		spend:    a.Spend,
		borrowed: a.Borrowed,
	}
}

func (v vector) amounts() Amounts {
	return Amounts{
		Requests: v[requests],
		Tokens:   v[tokens],
		Spend:    v[spend],
		Borrowed: v[borrowed],
	}
}

func refillRates(t *contract.RegionLimits) vector {
	return vector{
		requests: t.RequestsPerSecond,
		tokens:   t.TokensPerSecond,
		spend:    t.SpendPerHour / secondsPerHour,
		borrowed: t.TokensPerSecond * t.BorrowShare,
	}
}

// account holds the token buckets of one workspace on one VM.
type account struct {
	// level is the current content of each bucket; a negative level is a debt.
	level vector
	rate  vector
	share float64
	// capacity is the size of each bucket at a share of 1.
	capacity vector
	// refilledAt is the time of the last refill; zero for a new account.
	refilledAt time.Time
	lastUsedAt time.Time
	inFlight   int
	// leases is nil unless other VMs also admit calls for the workspace.
	leases *leases
}

// refill adds the tokens accrued since the last refill. Only time during which this VM
// held a share without interruption counts. After a contract change the lower of the old
// and new rates applies, and each bucket is capped at its current capacity times the
// share.
func (a *account) refill(r *Request, now time.Time) {
	rate := refillRates(&r.Terms)
	if a.refilledAt.IsZero() {
		a.initialize(r, rate, now)
	}
	capacity := r.capacity(rate)
	minShare, shareSeconds := a.heldShare(r, now)
	for d := range a.level {
		limit := capacity[d] * r.Share
		remaining := min(a.level[d], min(capacity[d], a.capacity[d])*minShare)
		a.level[d] = min(remaining+min(rate[d], a.rate[d])*shareSeconds, limit)
	}
	a.rate = rate
	a.capacity = capacity
	a.share = r.Share
	if now.After(a.refilledAt) {
		a.refilledAt = now
	}
	a.lastUsedAt = a.refilledAt
}

// capacity returns the bucket sizes at a share of 1.
func (r *Request) capacity(rate vector) vector {
	out := vectorOf(&r.Burst)
	for d := range out {
		if out[d] <= 0 {
			out[d] = rate[d] * burstSeconds[d]
		}
	}
	return out
}

// initialize sets up a new account. Its buckets start at InitialFill of their capacity and
// accrue tokens from the time the share was first held.
func (a *account) initialize(r *Request, rate vector, now time.Time) {
	a.rate = rate
	a.share = r.Share
	a.capacity = r.capacity(rate)
	for d := range a.level {
		a.level[d] = a.capacity[d] * r.Share * r.InitialFill
	}
	a.refilledAt = now
	switch {
	case r.PreviousShare > 0 && !r.PreviousShareSince.IsZero():
		a.refilledAt = r.PreviousShareSince
	case !r.ShareSince.IsZero():
		a.refilledAt = r.ShareSince
	}
}

// heldShare returns the smallest share held since the last refill, and the integral of the
// share over that time in seconds.
func (a *account) heldShare(r *Request, now time.Time) (minShare, shareSeconds float64) {
	if r.ShareSince.IsZero() {
		minShare = min(a.share, r.Share)
		return minShare, minShare * secondsBetween(a.refilledAt, now)
	}
	since := moment.Later(a.refilledAt, r.ShareSince)
	shareSeconds = r.Share * secondsBetween(since, now)
	if !a.refilledAt.Before(r.ShareSince) {
		return r.Share, shareSeconds
	}
	shareSeconds += r.PreviousShare * secondsBetween(moment.Later(a.refilledAt, r.PreviousShareSince), since)
	if a.refilledAt.Before(r.PreviousShareSince) {
		return 0, shareSeconds
	}
	return r.PreviousShare, shareSeconds
}

func secondsBetween(from, to time.Time) float64 {
	return max(to.Sub(from).Seconds(), 0)
}

// shortage describes the limit that rejects a request; the zero value means that the
// request fits.
type shortage struct {
	code    result.Code
	message string
	retryAt time.Time
}

func (s *shortage) isZero() bool {
	return s.code == 0
}

func (s *shortage) refusal() *result.Refusal {
	return &result.Refusal{
		Code:    s.code,
		Message: s.message,
		RetryAt: s.retryAt,
	}
}

// shortage returns the exceeded limit with the latest retry time. A cost above the
// capacity of its bucket is admitted when the bucket is full, and leaves a debt.
func (a *account) shortage(r *Request, now time.Time) shortage {
	if r.Share <= 0 {
		return shortage{
			code:    result.LimitNoShare,
			message: "this VM holds no share of the workspace's limit now",
		}
	}
	cost := vectorOf(&r.Cost)
	latest := shortage{}
	for d, c := range cost {
		if c <= 0 {
			continue
		}
		rate := a.rate[d] * r.Share
		deficit := min(c, a.capacity[d]*r.Share)*(1-epsilon) - a.level[d]
		if rate > 0 && deficit <= 0 {
			continue
		}
		retryAt := retryTime(deficit, rate, a.refilledAt)
		if latest.isZero() || retryAt.IsZero() || (!latest.retryAt.IsZero() && retryAt.After(latest.retryAt)) {
			latest = shortage{
				code:    refusals[d].code,
				message: refusals[d].message,
				retryAt: retryAt,
			}
		}
	}
	if latest.isZero() && r.Cost.Concurrency > 0 && a.inFlight+a.leases.grantedSlots(now)+r.Cost.Concurrency > concurrencyLimit(r.Terms.Concurrency, r.Share) {
		return shortage{
			code:    result.LimitConcurrency,
			message: "the contract's calls in flight are all in use",
		}
	}
	return latest
}

// retryTime returns when a bucket will have gained deficit tokens, or the zero time if its
// rate is zero.
func retryTime(deficit, rate float64, refilledAt time.Time) time.Time {
	if rate <= 0 {
		return time.Time{}
	}
	wait := math.Ceil(deficit / rate * float64(time.Second))
	return refilledAt.Add(time.Duration(min(wait, float64(maxRetryDelay))) + 1)
}

// concurrencyLimit returns how many calls in flight a share allows. Fractions are rounded
// down, except for a share above one half: only one VM can hold such a share, so rounding
// it up keeps the sum within the limit.
func concurrencyLimit(concurrency int, share float64) int {
	exact := float64(concurrency) * share
	if share > 0.5 {
		return min(int(math.Ceil(exact-epsilon)), concurrency)
	}
	return int(exact + epsilon)
}

func (a *account) charge(cost *Amounts) {
	for d, c := range vectorOf(cost) {
		a.level[d] -= c
	}
	a.inFlight += cost.Concurrency
}

// fillRatio returns the lowest fill level, at most 1, of the buckets that the request
// draws on.
func (a *account) fillRatio(r *Request) float64 {
	lowest := 1.0
	for d, c := range vectorOf(&r.Cost) {
		if limit := a.capacity[d] * r.Share; c != 0 && limit > 0 {
			lowest = min(lowest, a.level[d]/limit)
		}
	}
	return lowest
}

// settle refunds the difference between the charged and the used amounts.
func (a *account) settle(r *Reservation, used Amounts, now time.Time) {
	charged := vectorOf(&r.Charged)
	spent := vectorOf(&used)
	if r.Leased {
		a.leases.settle(charged, spent, r.Charged.Concurrency, now)
		return
	}
	for d := range a.level {
		// A later refill bounds the level to what the share then allows.
		a.level[d] += charged[d] - spent[d]
	}
	a.inFlight -= r.Charged.Concurrency
}

// idle reports whether the account can be dropped because a new one would be equivalent.
func (a *account) idle(now time.Time) bool {
	return a.inFlight == 0 && a.leases.idle(now) && now.Sub(a.lastUsedAt) > idleTimeout && a.level.debtFree()
}

func (v *vector) debtFree() bool {
	for _, level := range v {
		if level < 0 {
			return false
		}
	}
	return true
}
