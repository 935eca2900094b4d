package borrow

import (
	"sync"
	"time"
)

const (
	// leastFactor bounds the multiplicative decrease.
	leastFactor = 1.0 / 64
	// increase is added to the factor for each answer in time. The factor may grow
	// until the whole offer is used, as most of those that may ask do not.
	increase = 0.1
	// decrease multiplies the factor on a refusal.
	decrease = 0.7
	// burst is how many seconds of the allowed rate may leave at once.
	burst = 1.0
)

// Damper limits what this VM sends to each offering VM: its part of the offer,
// which shrinks on refusals and grows with answers. It is safe for concurrent use.
type Damper struct {
	mu      sync.Mutex
	asking  int
	lenders map[lender]*lending
}

// lender is one VM's capacity for one target.
type lender struct {
	vm     string
	target string
}

// lending is a token bucket with its rate's factor.
type lending struct {
	factor float64
	tokens float64
	at     time.Time
}

// NewDamper makes a Damper for an offer that reaches so many asking VMs.
func NewDamper(asking int) *Damper {
	return &Damper{
		asking:  max(asking, 1),
		lenders: map[lender]*lending{},
	}
}

// SetAsking says how many VMs may use the same offers.
func (d *Damper) SetAsking(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asking = max(n, 1)
}

// Open reports whether anything is left of this VM's part of the offer.
func (d *Damper) Open(o Offer, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fill(o, now).tokens > 0
}

// Allow takes a call's tokens from this VM's part of the offer. A call may
// overdraw an unspent part, so that one larger than it can leave at all.
func (d *Damper) Allow(o Offer, tokens float64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.fill(o, now)
	if l.tokens <= 0 {
		return false
	}
	l.tokens -= tokens
	return true
}

// fill brings the bucket up to date.
func (d *Damper) fill(o Offer, now time.Time) *lending {
	l := d.lending(o, now)
	rate := o.TokensPerSecond / float64(d.asking) * l.factor
	l.tokens = min(l.tokens+rate*now.Sub(l.at).Seconds(), rate*burst)
	l.at = now
	return l
}

// Served reports an answer in time from the offering VM.
func (d *Damper) Served(o Offer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lending(o, now)
	l.factor = min(l.factor+increase, float64(d.asking))
}

// Refused reports that the offering VM refused or was late.
func (d *Damper) Refused(o Offer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lending(o, now)
	l.factor = max(l.factor*decrease, leastFactor)
	l.tokens = min(l.tokens, 0)
}

func (d *Damper) lending(o Offer, now time.Time) *lending {
	key := lender{
		vm:     o.VM,
		target: o.Target,
	}
	l, ok := d.lenders[key]
	if !ok {
		l = &lending{
			factor: 1,
			tokens: o.TokensPerSecond / float64(d.asking),
			at:     now,
		}
		d.lenders[key] = l
	}
	return l
}
