package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fuchsianotch/fuchsianotch/common/bounded"
)

// vmMetrics holds the metrics of a VM's own CPU.
type vmMetrics struct {
	delay   *prometheus.GaugeVec
	refused *prometheus.CounterVec

	bodyMemory        *prometheus.GaugeVec
	bodyMemoryRefused prometheus.Counter
}

func newVMMetrics(registry *prometheus.Registry) vmMetrics {
	m := vmMetrics{
		delay:   newGaugeVec("vm_delay_seconds", "How late this VM runs its goroutines, over the last second or so.", "stat"),
		refused: newCounterVec("vm_refused_total", "Calls refused because this VM is short of CPU, by the standing of their priority.", "standing"),

		bodyMemory:        newGaugeVec("body_memory_bytes", "Memory held by the bodies of requests and answers, their buffers with those that are not collected, and the most that bodies may hold.", "kind"),
		bodyMemoryRefused: newCounter("body_memory_refused_total", "Bodies of requests and answers that found no memory in time."),
	}
	registry.MustRegister(m.delay, m.refused, m.bodyMemory, m.bodyMemoryRefused)
	return m
}

// SetVMDelay sets the mean and the maximum of the VM's scheduling delay.
func (m *Metrics) SetVMDelay(mean, longest time.Duration) {
	m.vm.delay.WithLabelValues("mean").Set(mean.Seconds())
	m.vm.delay.WithLabelValues("max").Set(longest.Seconds())
}

// CountVMRefusal counts a call that was refused because the VM is short of CPU; standing 0
// is the highest priority.
func (m *Metrics) CountVMRefusal(standing int) {
	m.vm.refused.WithLabelValues(strconv.Itoa(standing)).Inc()
}

// SetBodyMemory sets the memory that bodies hold, that of their buffers and what they may hold.
func (m *Metrics) SetBodyMemory(s bounded.Stats) {
	m.vm.bodyMemory.WithLabelValues("held").Set(float64(s.Used))
	m.vm.bodyMemory.WithLabelValues("allocated").Set(float64(s.Allocated))
	m.vm.bodyMemory.WithLabelValues("limit").Set(float64(s.Total))
}

// AddBodyMemoryRefusals counts bodies that found no memory.
func (m *Metrics) AddBodyMemoryRefusals(n int64) {
	m.vm.bodyMemoryRefused.Add(float64(n))
}
