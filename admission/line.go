package admission

import (
	"slices"
	"time"
)

// entry is one waiting call.
type entry struct {
	id      uint64
	request Request
	// at is when the call came, latest when it had to start then to be on time.
	at     time.Time
	latest time.Time
}

// line holds the waiting calls of one priority, the earliest latest start first.
type line struct {
	entries []entry
}

// insert keeps the order; calls with equal times stay as they came.
func (l *line) insert(e entry) {
	at, _ := slices.BinarySearchFunc(l.entries, e, func(other, e entry) int {
		if other.latest.After(e.latest) {
			return 1
		}
		return -1
	})
	l.entries = slices.Insert(l.entries, at, e)
}

// index returns the position of a call, or -1.
func (l *line) index(id uint64) int {
	return slices.IndexFunc(l.entries, func(e entry) bool { return e.id == id })
}

func (l *line) remove(id uint64) bool {
	at := l.index(id)
	if at >= 0 {
		l.removeAt(at)
	}
	return at >= 0
}

func (l *line) removeAt(at int) entry {
	e := l.entries[at]
	l.entries = slices.Delete(l.entries, at, at+1)
	return e
}
