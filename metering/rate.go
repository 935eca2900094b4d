package metering

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay.
const rateTimeConstant = time.Second

// rateEstimate is an exponentially weighted moving rate.
type rateEstimate struct {
	sum float64
	at  time.Time
}

func (r *rateEstimate) add(amount float64, now time.Time) {
	r.decay(now)
	r.sum += amount
}

func (r *rateEstimate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateTimeConstant.Seconds()
}

func (r *rateEstimate) decay(now time.Time) {
	if past := now.Sub(r.at); past > 0 {
		r.sum *= math.Exp(-past.Seconds() / rateTimeConstant.Seconds())
		r.at = now
	}
}
