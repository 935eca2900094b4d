package agent

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
)

const (
	// recentCapacity bounds the answers that are not settled yet. Beyond it the oldest are
	// dropped: they count neither for nor against their subjects.
	recentCapacity = 256
	// maxRecentSubjects bounds the subjects of one of them.
	maxRecentSubjects = 8
)

// recentAnswer is an answer that ended soon after it began, so that the endpoint may still
// crash of it.
type recentAnswer struct {
	subjects [maxRecentSubjects]call.Subject
	count    int
	endpoint fleet.Endpoint
	// openAt is when the answer's connection was last known to be open.
	openAt time.Time
	// stillOpen reports whether the answer's connection is still open; nil if that is not
	// known.
	stillOpen func() bool
}

func (r *recentAnswer) list() []call.Subject {
	return r.subjects[:r.count]
}

// recentAnswers is a queue of answers, oldest first. It is safe for concurrent use.
type recentAnswers struct {
	mu    sync.Mutex
	queue [recentCapacity]recentAnswer
	first int
	count int
}

func (q *recentAnswers) add(run quarantine.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.count == recentCapacity {
		q.dropFirst()
	}
	r := &q.queue[(q.first+q.count)%recentCapacity]
	r.count = copy(r.subjects[:], run.Subjects)
	r.endpoint = run.Endpoint
	r.openAt = run.OpenAt
	r.stillOpen = run.StillOpen
	q.count++
}

func (q *recentAnswers) dropFirst() {
	q.queue[q.first].stillOpen = nil
	q.first = (q.first + 1) % recentCapacity
	q.count--
}

// due removes and returns the first answer if it was last open before a time.
func (q *recentAnswers) due(before time.Time) (r recentAnswer, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.count > 0 && q.queue[q.first].openAt.Before(before) {
		r = q.queue[q.first]
		q.dropFirst()
		if r.count > 0 {
			return r, true
		}
	}
	return r, false
}

// take returns the subjects of the answers of an endpoint, one list for each, and removes
// these.
func (q *recentAnswers) take(of instance) (out [][]call.Subject) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.count {
		r := &q.queue[(q.first+i)%recentCapacity]
		if r.count > 0 && instanceOf(r.endpoint) == of {
			taken := *r
			out = append(out, taken.list())
			r.count = 0
		}
	}
	return out
}
