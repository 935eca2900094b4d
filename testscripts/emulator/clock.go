package emulator

import (
	"container/heap"
	"time"
)

// clock is virtual time with a queue of scheduled events.
type clock struct {
	now       time.Time
	begin     time.Time
	events    int
	lastOrder int
	queue     eventQueue
}

type event struct {
	at    time.Time
	order int
	do    func()
}

func newClock(begin time.Time) *clock {
	return &clock{
		now:   begin,
		begin: begin,
	}
}

func (c *clock) at(at time.Time, do func()) {
	c.lastOrder++
	heap.Push(&c.queue, event{
		at:    at,
		order: c.lastOrder,
		do:    do,
	})
}

// run processes all events up to the given time.
func (c *clock) run(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		next, _ := heap.Pop(&c.queue).(event)
		c.now = next.at
		c.events++
		next.do()
	}
	c.now = until
}

func (c *clock) elapsed() time.Duration {
	return c.now.Sub(c.begin)
}

// eventQueue is a heap ordered by time, then by insertion.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) {
	next, _ := x.(event)
	*e = append(*e, next)
}

func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
