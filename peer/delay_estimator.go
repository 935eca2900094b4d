package peer

import (
	"sync"
	"time"
)

// maxSenders bounds the baselines kept; when it is reached, all are discarded.
const maxSenders = 4096

// maxClockDrift is the assumed drift per second between two monotonic clocks. It keeps an
// old baseline from making later messages look delayed.
const maxClockDrift = 200 * time.Microsecond

// DelayEstimator estimates when a message of another VM was sent, by this VM's clock. The
// offset between two monotonic clocks is unknown but nearly constant, so the message
// with the smallest observed offset serves as the baseline, and any excess over it is
// delay in transit. A message that waited out a network partition is thus recognised as
// old. It is safe for concurrent use.
type DelayEstimator struct {
	now       func() time.Time
	startedAt time.Time

	mu        sync.Mutex
	baselines map[string]delayBaseline
}

// delayBaseline is the smallest clock offset observed from one incarnation of a VM.
type delayBaseline struct {
	incarnation uint64
	// minOffset is the receive time minus the send time, each by its own process's clock.
	minOffset  time.Duration
	measuredAt time.Time
}

// NewDelayEstimator returns a DelayEstimator; now is a monotonic clock.
func NewDelayEstimator(now func() time.Time) *DelayEstimator {
	return &DelayEstimator{
		now:       now,
		startedAt: now(),
		baselines: make(map[string]delayBaseline),
	}
}

// elapsedMicros returns the monotonic time of this process for an outgoing message. It
// is never zero, which marks a message without a timestamp.
func (e *DelayEstimator) elapsedMicros() uint64 {
	return uint64(max(e.now().Sub(e.startedAt), time.Microsecond).Microseconds())
}

// SentAt returns the latest time at which a message that just arrived can have been
// sent. The shortest network delay is not counted, and the first message of an
// incarnation counts as undelayed.
func (e *DelayEstimator) SentAt(vm string, incarnation, sentMicros uint64) time.Time {
	now := e.now()
	if sentMicros == 0 || vm == "" {
		return now
	}
	offset := now.Sub(e.startedAt) - time.Duration(sentMicros)*time.Microsecond
	return now.Add(-e.excessDelay(vm, incarnation, offset, now))
}

// excessDelay returns the delay of a message beyond the baseline, and updates the
// baseline.
func (e *DelayEstimator) excessDelay(vm string, incarnation uint64, offset time.Duration, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.baselines[vm]
	if ok && known.incarnation > incarnation {
		return 0
	}
	minOffset := known.minOffset + maxDrift(now.Sub(known.measuredAt))
	if !ok || known.incarnation != incarnation || offset < minOffset {
		if len(e.baselines) >= maxSenders {
			clear(e.baselines)
		}
		e.baselines[vm] = delayBaseline{
			incarnation: incarnation,
			minOffset:   offset,
			measuredAt:  now,
		}
		return 0
	}
	return offset - minOffset
}

func maxDrift(elapsed time.Duration) time.Duration {
	return time.Duration(elapsed.Seconds() * float64(maxClockDrift))
}
