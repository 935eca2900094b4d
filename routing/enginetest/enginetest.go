// Package enginetest holds a small fake model engine on an event clock, to
// measure decisions in tests. Time passes only from event to event.
package enginetest

import (
	"container/heap"
	"container/list"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// Clock runs events in the order of their time.
type Clock struct {
	now    time.Time
	events events
	serial uint64
}

// NewClock starts at a fixed time.
func NewClock() *Clock {
	return &Clock{now: time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)}
}

// Now is the time of the running event.
func (c *Clock) Now() time.Time {
	return c.now
}

// After runs f once d from now.
func (c *Clock) After(d time.Duration, f func()) {
	c.serial++
	heap.Push(&c.events, event{
		at:     c.now.Add(d),
		serial: c.serial,
		run:    f,
	})
}

// Every runs f again and again.
func (c *Clock) Every(d time.Duration, f func()) {
	c.After(d, func() {
		f()
		c.Every(d, f)
	})
}

// Poisson runs f with exponential gaps of so many a second until the end.
func (c *Clock) Poisson(random *rand.Rand, perSecond float64, end time.Time, f func()) {
	gap := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
	c.After(gap, func() {
		if c.now.After(end) {
			return
		}
		f()
		c.Poisson(random, perSecond, end, f)
	})
}

// Run runs all events up to the end.
func (c *Clock) Run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := c.events[0]
		heap.Pop(&c.events)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// Job is one call at an engine.
type Job struct {
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	Tokens       int
	Priority     call.Priority
	// First and End are called at the first token and after the last one.
	First func()
	End   func(u call.Usage)
}

// Engine batches continuously up to Slots, prefills one prompt at a time, and
// keeps the most recently used prefixes.
type Engine struct {
	Clock *Clock
	Slots int
	// Speed is the tokens a second of a call alone, halved in a full batch.
	Speed   float64
	Prefill float64
	// Prefixes is how many prefixes the cache holds.
	Prefixes int
	// Lies makes it report that it is idle.
	Lies bool

	running   int
	waiting   [call.Priorities][]Job
	prefillAt time.Time
	cache     map[uint64]*list.Element
	recent    *list.List
	// PromptTokens and ColdTokens count what came and what had to be prefilled.
	PromptTokens int
	ColdTokens   int
}

// Send takes a job at once or queues it by priority.
func (e *Engine) Send(j Job) {
	if e.running >= e.Slots {
		e.waiting[j.Priority] = append(e.waiting[j.Priority], j)
		return
	}
	e.run(j)
}

func (e *Engine) run(j Job) {
	e.running++
	cached := 0
	if e.touch(j.Prefix) {
		cached = j.PrefixTokens
	}
	cold := j.PromptTokens - cached
	e.PromptTokens += j.PromptTokens
	e.ColdTokens += cold
	if e.prefillAt.Before(e.Clock.now) {
		e.prefillAt = e.Clock.now
	}
	e.prefillAt = e.prefillAt.Add(seconds(0.01 + float64(cold)/e.Prefill))
	first := e.prefillAt.Sub(e.Clock.now)
	perToken := (1 + float64(e.running)/float64(e.Slots)) / e.Speed
	e.Clock.After(first, j.First)
	e.Clock.After(first+seconds(perToken*float64(j.Tokens)), func() {
		e.running--
		e.next()
		j.End(call.Usage{
			PromptTokens:    j.PromptTokens,
			CachedTokens:    cached,
			GeneratedTokens: j.Tokens,
		})
	})
}

func (e *Engine) next() {
	for p := range e.waiting {
		if len(e.waiting[p]) > 0 {
			j := e.waiting[p][0]
			e.waiting[p] = e.waiting[p][1:]
			e.run(j)
			return
		}
	}
}

// touch reports whether the prefix was cached, and caches it.
func (e *Engine) touch(prefix uint64) bool {
	if e.cache == nil {
		e.cache = map[uint64]*list.Element{}
		e.recent = list.New()
	}
	if at, ok := e.cache[prefix]; ok {
		e.recent.MoveToFront(at)
		return true
	}
	e.cache[prefix] = e.recent.PushFront(prefix)
	if e.recent.Len() > e.Prefixes {
		oldest, _ := e.recent.Remove(e.recent.Back()).(uint64)
		delete(e.cache, oldest)
	}
	return false
}

// Load is the engine's report of now.
func (e *Engine) Load() routing.Load {
	l := routing.Load{
		At:    e.Clock.now,
		Slots: e.Slots,
	}
	if e.Lies {
		return l
	}
	l.Running = e.running
	for p := range e.waiting {
		l.Waiting += len(e.waiting[p])
	}
	return l
}

// Latencies collects times and gives their percentiles.
type Latencies struct {
	histogram *hdrhistogram.Histogram
}

// NewLatencies makes an empty collection for times of up to ten minutes.
func NewLatencies() *Latencies {
	return &Latencies{histogram: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

// Add takes one time; one over the bound counts as the bound.
func (l *Latencies) Add(d time.Duration) {
	us := min(d.Microseconds(), l.histogram.HighestTrackableValue())
	_ = l.histogram.RecordValue(max(us, 1))
}

// Milliseconds returns the time that the percent of all are within.
func (l *Latencies) Milliseconds(percent float64) float64 {
	return math.Round(float64(l.histogram.ValueAtPercentile(percent))/100) / 10
}

// Count is how many times were added.
func (l *Latencies) Count() int64 {
	return l.histogram.TotalCount()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for the heap.
func (e *events) Push(x any) {
	added, _ := x.(event)
	*e = append(*e, added)
}

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
