package serving

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// Throttle keeps the rates that endpoints name.
type Throttle struct {
	// Answered is told what an answer says of its endpoint's rate, and when its request
	// was sent.
	Answered func(e fleet.Endpoint, r fleet.Rate, sentAt time.Time)
	// Sending is told right before the first byte of a request goes out.
	Sending func(e fleet.Endpoint, way throttle.Way)
}

// noThrottle knows of no rate.
var noThrottle = Throttle{
	Answered: func(fleet.Endpoint, fleet.Rate, time.Time) {},
	Sending:  func(fleet.Endpoint, throttle.Way) {},
}

// way is how the next attempt at a call comes to be sent.
func (p *progress) way(c *call.Call) throttle.Way {
	switch {
	case p.lastEvent != "" || c.Routed.ResumeAfter != "":
		return throttle.WayResumed
	case p.history.Attempts > 0 || c.Routed.Repeated:
		return throttle.WayRepeat
	case c.Forwarded:
		return throttle.WayForwarded
	default:
		return throttle.WayCall
	}
}
