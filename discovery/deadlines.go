package discovery

import (
	"container/heap"
	"time"
)

// deadline is a time at which an endpoint changes without a message.
type deadline struct {
	at time.Time
	id string
}

// deadlines is a priority queue, earliest first. A deadline that no longer applies to its
// endpoint stays queued and is dropped when it comes first.
type deadlines []deadline

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].at.Before(d[j].at) }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	out := (*d)[last]
	*d = (*d)[:last]
	return out
}

// add queues the next time at which an endpoint changes; a zero time is ignored.
func (d *deadlines) add(id string, at time.Time) {
	if !at.IsZero() {
		heap.Push(d, deadline{
			at: at,
			id: id,
		})
	}
}

// takeDue removes the first deadline if it has passed.
func (d *deadlines) takeDue(now time.Time) (id string, ok bool) {
	if len(*d) == 0 || now.Before((*d)[0].at) {
		return "", false
	}
	return heap.Pop(d).(deadline).id, true
}

// next returns the first deadline that applies; zero if there is none.
func (d *deadlines) next(applies func(deadline) bool) time.Time {
	for len(*d) > 0 {
		if first := (*d)[0]; applies(first) {
			return first.at
		}
		heap.Pop(d)
	}
	return time.Time{}
}
