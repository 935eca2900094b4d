package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// answerCapacity is the number of contents, and of parts, that Answers remembers.
const answerCapacity = 4096

// Answers remembers when calls with a subject were last answered without a crash, in hash
// tables without collision handling: a newer subject replaces an older one in its slot. It
// is safe for concurrent use.
type Answers struct {
	// Contents are kept apart, as there are far more of them than of parts.
	contents, parts [answerCapacity]answerSlot
}

type answerSlot struct {
	subject atomic.Uint64
	// at is in nanoseconds since the epoch.
	at atomic.Int64
}

// Add records an answer to a call with a subject.
func (a *Answers) Add(s call.Subject, at time.Time) {
	slot := a.slot(s)
	slot.at.Store(at.UnixNano())
	slot.subject.Store(uint64(s))
}

// At returns the time of the last known answer; zero if there is none.
func (a *Answers) At(s call.Subject) time.Time {
	slot := a.slot(s)
	if slot.subject.Load() != uint64(s) {
		return time.Time{}
	}
	return time.Unix(0, slot.at.Load())
}

func (a *Answers) slot(s call.Subject) *answerSlot {
	if s.IsPart() {
		return &a.parts[s%answerCapacity]
	}
	return &a.contents[s%answerCapacity]
}
