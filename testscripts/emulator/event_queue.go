package emulator

import "time"

// event is a scheduled call. Events at the same time happen in their order.
type event struct {
	// at is the time since the start of the run. Without a time.Time the queue holds fewer
	// pointers, which the garbage collector would have to follow.
	at    time.Duration
	order int
	do    func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || (e.at == other.at && e.order < other.order)
}

// eventQueue is a binary heap of events, the next one first. Unlike container/heap it doesn't
// allocate for each event.
type eventQueue []event

func (q *eventQueue) push(next event) {
	*q = append(*q, next)
	list := *q
	i := len(list) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !next.before(&list[parent]) {
			break
		}
		list[i] = list[parent]
		i = parent
	}
	list[i] = next
}

// pop removes and returns the next event. The queue must not be empty.
func (q *eventQueue) pop() event {
	list := *q
	first, last := list[0], list[len(list)-1]
	// The function of a removed event is not kept alive.
	list[len(list)-1] = event{}
	list = list[:len(list)-1]
	*q = list
	if len(list) > 0 {
		list.siftDown(last)
	}
	return first
}

// siftDown places an event in a heap whose root is free.
func (q eventQueue) siftDown(moved event) {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q) {
			break
		}
		if child+1 < len(q) && q[child+1].before(&q[child]) {
			child++
		}
		if !q[child].before(&moved) {
			break
		}
		q[i] = q[child]
		i = child
	}
	q[i] = moved
}
