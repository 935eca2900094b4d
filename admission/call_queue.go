package admission

import (
	"slices"
	"time"
)

// queuedCall is one waiting call.
type queuedCall struct {
	id      uint64
	request Request
	// latestStart is the latest time to start, computed at arrivedAt.
	arrivedAt   time.Time
	latestStart time.Time
}

// callQueue holds the waiting calls of one priority, ordered by their latest start.
type callQueue struct {
	calls []queuedCall
}

// insert adds a call behind those with the same latest start.
func (q *callQueue) insert(e queuedCall) {
	index, _ := slices.BinarySearchFunc(q.calls, e, func(other, e queuedCall) int {
		if other.latestStart.After(e.latestStart) {
			return 1
		}
		return -1
	})
	q.calls = slices.Insert(q.calls, index, e)
}

// index returns the position of a call, or -1.
func (q *callQueue) index(id uint64) int {
	return slices.IndexFunc(q.calls, func(e queuedCall) bool { return e.id == id })
}

func (q *callQueue) remove(id uint64) bool {
	index := q.index(id)
	if index >= 0 {
		q.removeAt(index)
	}
	return index >= 0
}

func (q *callQueue) removeAt(index int) queuedCall {
	removed := q.calls[index]
	q.calls = slices.Delete(q.calls, index, index+1)
	return removed
}
