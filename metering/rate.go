package metering

import (
	"math"
	"time"
)

// rateOver is the time over which a rate is measured.
const rateOver = time.Second

// rate is how much comes in a second of late.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.decay(now)
	r.sum += amount
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateOver.Seconds()
}

func (r *rate) decay(now time.Time) {
	if past := now.Sub(r.at); past > 0 {
		r.sum *= math.Exp(-past.Seconds() / rateOver.Seconds())
		r.at = now
	}
}
