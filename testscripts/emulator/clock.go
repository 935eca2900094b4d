package emulator

import "time"

// clock is virtual time with a queue of scheduled events.
type clock struct {
	now       time.Time
	begin     time.Time
	events    int
	lastOrder int
	queue     eventQueue
}

func newClock(begin time.Time) *clock {
	return &clock{
		now:   begin,
		begin: begin,
	}
}

func (c *clock) at(at time.Time, do func()) {
	c.lastOrder++
	c.queue.push(event{
		at:    at.Sub(c.begin),
		order: c.lastOrder,
		do:    do,
	})
}

// run processes all events up to the given time.
func (c *clock) run(until time.Time) {
	last := until.Sub(c.begin)
	for len(c.queue) > 0 && c.queue[0].at <= last {
		next := c.queue.pop()
		c.now = c.begin.Add(next.at)
		c.events++
		next.do()
	}
	c.now = until
}

func (c *clock) elapsed() time.Duration {
	return c.now.Sub(c.begin)
}
