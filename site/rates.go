package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// answeredRate takes what an answer says of its endpoint's rate.
func (n *Node) answeredRate(e fleet.Endpoint, r fleet.Rate, sentAt time.Time) {
	if r.Unreadable {
		n.log.Warn("endpoint_limit_unreadable", "endpoint", e.ID)
	}
	if w, isNew := n.rates.Answered(e, r, sentAt, n.now()); isNew {
		n.logRate(w)
	}
}

func (n *Node) logRate(w throttle.Word) {
	if !w.Limited {
		n.log.Info("endpoint_unlimited", "endpoint", w.Endpoint, "incarnation", w.Incarnation, "number", w.Number)
		return
	}
	n.log.Info("endpoint_limited", "endpoint", w.Endpoint, "incarnation", w.Incarnation, "per_second", w.PerSecond, "number", w.Number)
}

// countThrottled counts a request that goes to an endpoint with a limit.
func (n *Node) countThrottled(e fleet.Endpoint, way throttle.Way) {
	if n.rates.IsLimited(e) {
		n.metrics.ThrottledSend(way)
	}
}
