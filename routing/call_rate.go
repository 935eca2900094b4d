package routing

import (
	"math"
	"time"
)

// callRateSeconds is the time constant of the moving average of the call rate.
const callRateSeconds = 1.0

// callRate is the moving average of the calls a second that this VM starts at an endpoint.
type callRate struct {
	perSecond float64
	at        time.Time
}

func (r *callRate) add(now time.Time) {
	r.perSecond = r.value(now) + 1/callRateSeconds
	r.at = now
}

func (r *callRate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/callRateSeconds)
}

// CallsPerSecond estimates how many calls a second an endpoint gets from all VMs of the region,
// extrapolated from those of this one.
func (p *Pool) CallsPerSecond(id string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[id]
	if e == nil {
		return 0
	}
	return e.calls.value(now) * float64(p.vms)
}
