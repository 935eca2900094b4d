package serving

import (
	"sync/atomic"
	"time"
)

// lossesFor is how long after an answer broke off copies are kept: engines
// fail in series more often than alone, and a copy costs memory and the links.
const lossesFor = 20 * time.Second

// losses is when an answer last broke off. It is safe for concurrent use.
type losses struct {
	at atomic.Int64
}

func (l *losses) note(now time.Time) {
	l.at.Store(now.UnixNano())
}

func (l *losses) recent(now time.Time) bool {
	at := l.at.Load()
	return at > 0 && now.Sub(time.Unix(0, at)) < lossesFor
}
