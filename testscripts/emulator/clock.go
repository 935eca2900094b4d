package emulator

import (
	"container/heap"
	"time"
)

// clock is virtual time with what happens in it, in order.
type clock struct {
	now    time.Time
	begin  time.Time
	steps  int
	serial int
	queue  events
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

func newClock(begin time.Time) *clock {
	return &clock{
		now:   begin,
		begin: begin,
	}
}

func (c *clock) at(at time.Time, do func()) {
	c.serial++
	heap.Push(&c.queue, event{
		at:     at,
		serial: c.serial,
		do:     do,
	})
}

// run handles all events up to a moment.
func (c *clock) run(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		next, _ := heap.Pop(&c.queue).(event)
		c.now = next.at
		c.steps++
		next.do()
	}
	c.now = until
}

func (c *clock) elapsed() time.Duration {
	return c.now.Sub(c.begin)
}

// events is a heap by time; those of one moment keep their order.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) {
	next, _ := x.(event)
	*e = append(*e, next)
}

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
