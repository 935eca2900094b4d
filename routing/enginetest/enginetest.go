// Package enginetest simulates a model engine in virtual time, for tests and benchmarks
// of routing decisions.
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

// Clock is a virtual clock that runs events in order of time.
type Clock struct {
	now        time.Time
	events     events
	nextSerial uint64
}

// NewClock returns a Clock that starts at a fixed time.
func NewClock() *Clock {
	return &Clock{now: time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)}
}

// Now returns the time of the current event.
func (c *Clock) Now() time.Time {
	return c.now
}

// After runs f once after d.
func (c *Clock) After(d time.Duration, f func()) {
	c.nextSerial++
	heap.Push(&c.events, event{
		at:     c.now.Add(d),
		serial: c.nextSerial,
		run:    f,
	})
}

// Every runs f each d, without end.
func (c *Clock) Every(d time.Duration, f func()) {
	c.After(d, func() {
		f()
		c.Every(d, f)
	})
}

// Poisson runs f as a Poisson process of perSecond events per second until end.
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

// Run runs all events up to and including end.
func (c *Clock) Run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := c.events[0]
		heap.Pop(&c.events)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// Job is one call to an Engine.
type Job struct {
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	Tokens       int
	Priority     call.Priority
	// OnFirstToken and OnEnd are called at the first token and after the last one.
	OnFirstToken func()
	OnEnd        func(u call.Usage)
}

// Engine simulates continuous batching with up to Slots calls, sequential prefill and an
// LRU prefix cache.
type Engine struct {
	Clock *Clock
	Slots int
	// DecodeRate is the decode rate of a single call in tokens per second, halved in a full
	// batch.
	DecodeRate  float64
	PrefillRate float64
	// CacheSize is the capacity of the prefix cache, in prefixes.
	CacheSize int
	// SlowUntil is until when the engine is slower by SlowFactor, as after a start.
	SlowUntil  time.Time
	SlowFactor float64
	// ReportsIdle makes load reports show no calls.
	ReportsIdle bool

	running       int
	waiting       [call.Priorities][]Job
	prefillEndsAt time.Time
	cache         map[uint64]*list.Element
	lru           *list.List
	// PromptTokens and UncachedTokens count the received and the uncached prompt tokens.
	PromptTokens   int
	UncachedTokens int
}

// Send runs a job if a slot is free and queues it by priority otherwise.
func (e *Engine) Send(j Job) {
	if e.running >= e.Slots {
		e.waiting[j.Priority] = append(e.waiting[j.Priority], j)
		return
	}
	e.startJob(j)
}

func (e *Engine) startJob(j Job) {
	e.running++
	cached := 0
	if e.lookup(j.Prefix) {
		cached = j.PrefixTokens
	}
	cold := j.PromptTokens - cached
	e.PromptTokens += j.PromptTokens
	e.UncachedTokens += cold
	if e.prefillEndsAt.Before(e.Clock.now) {
		e.prefillEndsAt = e.Clock.now
	}
	slow := 1.0
	if e.Clock.now.Before(e.SlowUntil) {
		slow = e.SlowFactor
	}
	e.prefillEndsAt = e.prefillEndsAt.Add(seconds(slow * (0.01 + float64(cold)/e.PrefillRate)))
	first := e.prefillEndsAt.Sub(e.Clock.now)
	perToken := slow * (1 + float64(e.running)/float64(e.Slots)) / e.DecodeRate
	e.Clock.After(first, j.OnFirstToken)
	e.Clock.After(first+seconds(perToken*float64(j.Tokens)), func() {
		e.running--
		e.startNext()
		j.OnEnd(call.Usage{
			PromptTokens:    j.PromptTokens,
			CachedTokens:    cached,
			GeneratedTokens: j.Tokens,
		})
	})
}

func (e *Engine) startNext() {
	for p := range e.waiting {
		if len(e.waiting[p]) > 0 {
			j := e.waiting[p][0]
			e.waiting[p] = e.waiting[p][1:]
			e.startJob(j)
			return
		}
	}
}

// lookup reports whether the prefix was cached, and caches it.
func (e *Engine) lookup(prefix uint64) bool {
	if e.cache == nil {
		e.cache = map[uint64]*list.Element{}
		e.lru = list.New()
	}
	if at, ok := e.cache[prefix]; ok {
		e.lru.MoveToFront(at)
		return true
	}
	e.cache[prefix] = e.lru.PushFront(prefix)
	if e.lru.Len() > e.CacheSize {
		oldest, _ := e.lru.Remove(e.lru.Back()).(uint64)
		delete(e.cache, oldest)
	}
	return false
}

// Load returns the engine's current load report.
func (e *Engine) Load() routing.Load {
	l := routing.Load{
		At:    e.Clock.now,
		Slots: e.Slots,
	}
	if e.ReportsIdle {
		return l
	}
	l.Running = e.running
	for p := range e.waiting {
		l.Waiting += len(e.waiting[p])
	}
	return l
}

// Latencies is a histogram of durations.
type Latencies struct {
	histogram *hdrhistogram.Histogram
}

// NewLatencies returns an empty histogram for durations of up to ten minutes.
func NewLatencies() *Latencies {
	return &Latencies{histogram: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

// Add records a duration; values out of range count as the nearest bound.
func (l *Latencies) Add(d time.Duration) {
	us := min(d.Microseconds(), l.histogram.HighestTrackableValue())
	_ = l.histogram.RecordValue(max(us, 1))
}

// PercentileMS returns a percentile in milliseconds, rounded to a tenth.
func (l *Latencies) PercentileMS(percent float64) float64 {
	return math.Round(float64(l.histogram.ValueAtPercentile(percent))/100) / 10
}

// Count returns the number of recorded durations.
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

// Push implements heap.Interface.
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
