package site

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/bounded"
)

const (
	// bodyMemoryRatio is the part of the VM's memory that bodies of requests and answers may
	// hold. With it the collector stays below the limit of memoryLimitRatio.
	bodyMemoryRatio = 0.45
	// answerMemoryRatio is the part of that which is left to answers: calls that run already
	// must not fail for the bodies of later ones.
	answerMemoryRatio = 0.15
	// unlimitedMemoryBytes stands for the memory of a VM without a limit.
	unlimitedMemoryBytes = 1 << 40
	// bodyMemoryInterval is how often refusals are looked for, and bodyMemoryQuiet the time
	// without any after which the memory is no longer reported as full.
	bodyMemoryInterval = 500 * time.Millisecond
	bodyMemoryQuiet    = 2 * time.Second
)

// bodyMemory is the memory of this VM for the bodies of requests and answers.
type bodyMemory struct {
	budget *bounded.Budget
	// reserved is the part that requests leave to answers.
	reserved int
	// reported is the number of refusals already counted in the metrics.
	reported atomic.Int64
}

func newBodyMemory(memoryBytes int64) *bodyMemory {
	if memoryBytes <= 0 {
		memoryBytes = unlimitedMemoryBytes
	}
	total := int(math.Round(float64(memoryBytes) * bodyMemoryRatio))
	return &bodyMemory{
		budget:   bounded.NewBudget(total),
		reserved: int(math.Round(float64(total) * answerMemoryRatio)),
	}
}

// requestShare returns the share of a request body.
func (m *bodyMemory) requestShare() bounded.Share {
	return m.budget.ShareLeaving(m.reserved)
}

// watchBodyMemory logs when messages begin to be refused for want of memory, and when that ends.
func (n *Node) watchBodyMemory(ctx context.Context) error {
	ticker := time.NewTicker(bodyMemoryInterval)
	defer ticker.Stop()
	var watch bodyMemoryWatch
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			watch.update(n.log, n.bodies.budget.Stats(), n.now())
		}
	}
}

// bodyMemoryWatch holds what was last logged.
type bodyMemoryWatch struct {
	full bool
	// refused is the number of refusals so far, refusedBefore that before the memory was full.
	refused       int
	refusedBefore int
	quietAt       time.Time
}

func (w *bodyMemoryWatch) update(log *slog.Logger, s bounded.Stats, now time.Time) {
	if s.Refused > w.refused {
		if !w.full {
			log.Warn("body_memory_full", "held", s.Used, "limit", s.Total)
			w.full = true
			w.refusedBefore = w.refused
		}
		w.refused = s.Refused
		w.quietAt = now.Add(bodyMemoryQuiet)
		return
	}
	if w.full && !now.Before(w.quietAt) {
		log.Info("body_memory_recovered", "held", s.Used, "limit", s.Total, "refused", s.Refused-w.refusedBefore)
		w.full = false
	}
}

func (m *bodyMemory) updateGauges(n *Node) {
	s := m.budget.Stats()
	n.metrics.SetBodyMemory(s)
	n.metrics.AddBodyMemoryRefusals(int64(s.Refused) - m.reported.Swap(int64(s.Refused)))
}
