package metrics

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fuchsianotch/fuchsianotch/routing"
)

// slowStartMetrics are the metrics of engines that start or recover.
type slowStartMetrics struct {
	enginesPaced prometheus.Gauge
	pacedCalls   *prometheus.CounterVec

	mu sync.Mutex
	// counted are the calls that pacedCalls includes.
	counted routing.PacedCalls
}

func newSlowStartMetrics(registry prometheus.Registerer) *slowStartMetrics {
	m := &slowStartMetrics{
		enginesPaced: newGauge("engines_paced", "Engines of the own region whose calls are limited, as they start or recover."),
		pacedCalls:   newCounterVec("paced_calls_total", "Calls that went to a limited engine, within this VM's part of the limit or over it, or past it to another one.", "outcome"),
	}
	registry.MustRegister(m.enginesPaced, m.pacedCalls)
	return m
}

// SetPaced sets the number of limited engines and the calls that were counted so far.
func (m *Metrics) SetPaced(engines int, calls routing.PacedCalls) {
	s := m.slowStart
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enginesPaced.Set(float64(engines))
	s.pacedCalls.WithLabelValues("within").Add(float64(max(calls.Within-s.counted.Within, 0)))
	s.pacedCalls.WithLabelValues("over").Add(float64(max(calls.Over-s.counted.Over, 0)))
	s.pacedCalls.WithLabelValues("passed_over").Add(float64(max(calls.PassedOver-s.counted.PassedOver, 0)))
	s.counted = calls
}
