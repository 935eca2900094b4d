package admission

import (
	"slices"
	"time"
)

// queuedCall is one waiting call.
type queuedCall struct {
	id      uint64
	request Request
	// latestStart is the latest time to start, as computed on arrival.
	arrivedAt   time.Time
	latestStart time.Time
}

// callQueue holds the waiting calls of one priority, ordered by their latest start.
type callQueue struct {
	calls []queuedCall
}

// insert adds a call behind those with the same latest start.
func (l *callQueue) insert(e queuedCall) {
	index, _ := slices.BinarySearchFunc(l.calls, e, func(other, e queuedCall) int {
		if other.latestStart.After(e.latestStart) {
			return 1
		}
		return -1
	})
	l.calls = slices.Insert(l.calls, index, e)
}

// index returns the position of a call, or -1.
func (l *callQueue) index(id uint64) int {
	return slices.IndexFunc(l.calls, func(e queuedCall) bool { return e.id == id })
}

func (l *callQueue) remove(id uint64) bool {
	index := l.index(id)
	if index >= 0 {
		l.removeAt(index)
	}
	return index >= 0
}

func (l *callQueue) removeAt(index int) queuedCall {
	removed := l.calls[index]
	l.calls = slices.Delete(l.calls, index, index+1)
	return removed
}
