package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

func newEngineTokenTime() *prometheus.GaugeVec {
	return newGaugeVec("engine_token_seconds", "Time per generated token at engines of the own region that report their runs.", "of")
}

// SetEngineTokenTime sets the time per generated token of the region's engines.
func (m *Metrics) SetEngineTokenTime(mean, highest time.Duration) {
	m.engineTokenTime.WithLabelValues("mean").Set(mean.Seconds())
	m.engineTokenTime.WithLabelValues("highest").Set(highest.Seconds())
}
