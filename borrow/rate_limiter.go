package borrow

import (
	"sync"
	"time"
)

const (
	// minFactor is the lower bound of the rate factor.
	minFactor = 1.0 / 64
	// additiveIncrease is added to the factor for each call served in time. The factor may
	// grow until one VM uses the whole offer, since most others use none of it.
	additiveIncrease = 0.1
	// multiplicativeDecrease is applied to the factor on each refusal.
	multiplicativeDecrease = 0.7
	// burstSeconds is the bucket capacity, in seconds of the current rate.
	burstSeconds = 1.0
)

// RateLimiter limits the rate of tokens sent to each offering VM, with additive increase and
// multiplicative decrease. It is safe for concurrent use.
type RateLimiter struct {
	mu        sync.Mutex
	borrowers int
	buckets   map[bucketKey]*bucket
}

// bucketKey identifies the capacity of one VM for one target.
type bucketKey struct {
	vm     string
	target string
}

// bucket is a token bucket with the factor of its rate.
type bucket struct {
	factor     float64
	tokens     float64
	refilledAt time.Time
}

// NewRateLimiter returns a RateLimiter for offers shared by the given number of VMs.
func NewRateLimiter(borrowers int) *RateLimiter {
	return &RateLimiter{
		borrowers: max(borrowers, 1),
		buckets:   map[bucketKey]*bucket{},
	}
}

// SetBorrowers sets the number of VMs that share the same offers.
func (d *RateLimiter) SetBorrowers(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrowers = max(n, 1)
}

// HasCapacity reports whether this VM's bucket for the offer is not empty.
func (d *RateLimiter) HasCapacity(o Offer, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refill(o, now).tokens > 0
}

// Allow takes a call's tokens from this VM's bucket for the offer. Any non-empty bucket
// admits a call of any size, so that large calls are not blocked forever.
func (d *RateLimiter) Allow(o Offer, tokens float64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.refill(o, now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= tokens
	return true
}

// refill returns the bucket with the tokens accrued since the last refill.
func (d *RateLimiter) refill(o Offer, now time.Time) *bucket {
	b := d.bucket(o, now)
	rate := o.TokensPerSecond / float64(d.borrowers) * b.factor
	b.tokens = min(b.tokens+rate*now.Sub(b.refilledAt).Seconds(), rate*burstSeconds)
	b.refilledAt = now
	return b
}

// Served records that the offering VM served a call in time.
func (d *RateLimiter) Served(o Offer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.bucket(o, now)
	b.factor = min(b.factor+additiveIncrease, float64(d.borrowers))
}

// Refused records that the offering VM refused a call or answered late.
func (d *RateLimiter) Refused(o Offer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.bucket(o, now)
	b.factor = max(b.factor*multiplicativeDecrease, minFactor)
	b.tokens = min(b.tokens, 0)
}

func (d *RateLimiter) bucket(o Offer, now time.Time) *bucket {
	key := bucketKey{
		vm:     o.VM,
		target: o.Target,
	}
	b, ok := d.buckets[key]
	if !ok {
		b = &bucket{
			factor:     1,
			tokens:     o.TokensPerSecond / float64(d.borrowers),
			refilledAt: now,
		}
		d.buckets[key] = b
	}
	return b
}
