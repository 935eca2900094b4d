package metrics

import "github.com/prometheus/client_golang/prometheus"

func newEngineMemory() *prometheus.GaugeVec {
	return newGaugeVec("engine_memory_ratio", "Part of their memory that engines of the own region are estimated to use.", "of")
}

// SetEngineMemory sets the part of their memory that the region's engines use.
func (m *Metrics) SetEngineMemory(mean, highest float64) {
	m.engineMemory.WithLabelValues("mean").Set(mean)
	m.engineMemory.WithLabelValues("highest").Set(highest)
}
