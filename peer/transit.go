package peer

import (
	"sync"
	"time"
)

// sendersMost bounds the processes that are measured; over it all are measured anew.
const sendersMost = 4096

// clockDrift is how far two steady clocks may drift apart in a second, so that
// a measure taken long ago does not make later messages look held up for good.
const clockDrift = 200 * time.Microsecond

// Transit tells when a message of another VM was sent, by this VM's own clock.
// The clocks of two processes differ by an unknown amount, but steadily: the
// message that came fastest of all is the measure, and any other was held up by
// as much more as it took. So what waited on a cut way is known as old, however
// fresh the time left that it tells. It is safe for concurrent use.
type Transit struct {
	now       func() time.Time
	startedAt time.Time

	mu      sync.Mutex
	fastest map[string]fastest
}

// fastest is the measure of one process.
type fastest struct {
	incarnation uint64
	// ahead is what this clock is ahead of the sender's, with the shortest way, as
	// of at.
	ahead time.Duration
	at    time.Time
}

// NewTransit makes a Transit; now is a steady clock.
func NewTransit(now func() time.Time) *Transit {
	return &Transit{
		now:       now,
		startedAt: now(),
		fastest:   make(map[string]fastest),
	}
}

// stamp is this process's steady clock, for a message that is sent now. It is
// never zero, which means that a message does not say.
func (t *Transit) stamp() uint64 {
	return uint64(max(t.now().Sub(t.startedAt), time.Microsecond).Microseconds())
}

// SentAt gives when a message that came just now was sent, at the latest: the
// shortest way is not counted. The first message of a process counts as fresh.
func (t *Transit) SentAt(vm string, incarnation, stamp uint64) time.Time {
	now := t.now()
	if stamp == 0 || vm == "" {
		return now
	}
	took := now.Sub(t.startedAt) - time.Duration(stamp)*time.Microsecond
	return now.Add(-t.heldUp(vm, incarnation, took, now))
}

// heldUp is how much longer than the fastest a message took.
func (t *Transit) heldUp(vm string, incarnation uint64, took time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.fastest[vm]
	if ok && known.incarnation > incarnation {
		return 0
	}
	least := known.ahead + drifted(now.Sub(known.at))
	if !ok || known.incarnation != incarnation || took < least {
		if len(t.fastest) >= sendersMost {
			clear(t.fastest)
		}
		t.fastest[vm] = fastest{
			incarnation: incarnation,
			ahead:       took,
			at:          now,
		}
		return 0
	}
	return took - least
}

func drifted(since time.Duration) time.Duration {
	return time.Duration(since.Seconds() * float64(clockDrift))
}
