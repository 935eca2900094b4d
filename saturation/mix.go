package saturation

import (
	"math"
	"time"
)

// mix counts the calls of the last second or so by standing.
type mix struct {
	counts  [Standings]float64
	countAt time.Time
}

func (m *mix) add(standing int, now time.Time) {
	if elapsed := now.Sub(m.countAt); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(mixPeriod))
		for i := range m.counts {
			m.counts[i] *= keep
		}
		m.countAt = now
	}
	m.counts[standing]++
}

// refusedFraction returns which fraction of the calls of a standing to refuse so that the
// given fraction of all calls is refused, the lowest priority first.
func (m *mix) refusedFraction(standing int, fraction float64) float64 {
	sum := 0.0
	for _, count := range m.counts {
		sum += count
	}
	left := fraction * sum
	for lower := Standings - 1; lower > standing; lower-- {
		left -= m.counts[lower]
	}
	if left <= 0 || m.counts[standing] <= 0 {
		return 0
	}
	return min(left/m.counts[standing], 1)
}
