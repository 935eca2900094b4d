// Package load is an open-loop load generator that stands in for many callers.
// It generates a schedule from a seed, sends the calls, and records their
// results. Latencies count from the scheduled arrival, which avoids coordinated
// omission.
package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
)

const (
	defaultMaxCalls    = 200_000
	defaultMaxInFlight = 8_192
	// answerGracePeriod is added to a call's time limit, so that a late answer
	// is recorded as late.
	answerGracePeriod = 5 * time.Second
)

// Options configure a run.
type Options struct {
	// Seed determines the schedule.
	Seed uint64
	// Rate is the mean number of calls per second over all regions.
	Rate float64
	// Duration is the length of the schedule, including the warm-up.
	Duration time.Duration
	// WarmUp is the initial period whose calls are sent but not recorded.
	WarmUp time.Duration
	// DayLength is the length of a simulated day; zero keeps the rate constant.
	DayLength time.Duration
	// Peak is the amplitude of the daily cycle relative to the mean rate, from
	// 0 to 1. The regions' peaks are spread over the day.
	Peak    float64
	Mix     Mix
	Targets Targets
	// Direct sends every call to an endpoint without a gateway, as a baseline.
	Direct bool
	// MaxTries bounds the attempts of one call; zero means the caller's default.
	MaxTries int
	// MaxCalls bounds the schedule; zero means 200,000.
	MaxCalls int
	// MaxInFlight bounds concurrent calls, and calls over it are shed; zero
	// means 8,192.
	MaxInFlight int
	// Client is shared by all callers; nil creates one.
	Client *http.Client
}

// Run sends one schedule and records the results.
type Run struct {
	options   Options
	arrivals  []Arrival
	senders   []sendFunc
	collector *collector
	inFlight  chan struct{}
}

// sendFunc sends the call of an arrival that is due at the given time.
type sendFunc func(ctx context.Context, a *Arrival, due time.Time) caller.Result

// New generates the schedule. It fails if the schedule exceeds MaxCalls.
func New(o Options) (*Run, error) {
	if o.MaxCalls == 0 {
		o.MaxCalls = defaultMaxCalls
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.Client == nil {
		o.Client = caller.NewClient()
	}
	if err := o.validate(); err != nil {
		return nil, err
	}
	arrivals, err := Schedule(o)
	if err != nil {
		return nil, err
	}
	r := &Run{
		options:   o,
		arrivals:  arrivals,
		collector: newCollector(),
		inFlight:  make(chan struct{}, o.MaxInFlight),
	}
	r.senders = r.newSenders()
	return r, nil
}

func (o *Options) validate() error {
	switch {
	case o.Rate <= 0 || o.Duration <= 0:
		return fmt.Errorf("rate and duration must be above 0")
	case o.WarmUp < 0 || o.WarmUp >= o.Duration:
		return fmt.Errorf("warm-up must not be negative and must be shorter than the duration")
	case o.Peak < 0 || o.Peak > 1:
		return fmt.Errorf("peak must be between 0 and 1")
	case len(o.Mix.Kinds) == 0 || len(o.Targets.Regions) == 0:
		return fmt.Errorf("mix and regions must not be empty")
	}
	return o.Targets.validate(o.Direct)
}

// Send sends the schedule and waits for the answers. The record lacks the
// counters of endpoints and VMs, which Measure adds.
func (r *Run) Send(ctx context.Context) *Record {
	startedAt := time.Now()
	var group sync.WaitGroup
	for i := range r.arrivals {
		a := &r.arrivals[i]
		due := startedAt.Add(a.Offset)
		if !sleepUntil(ctx, due) {
			break
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.collector.addShed(r.isMeasured(a))
			continue
		}
		group.Go(func() {
			defer func() { <-r.inFlight }()
			r.send(ctx, a, due)
		})
	}
	group.Wait()
	return r.collector.record(r.options, startedAt)
}

func (r *Run) send(ctx context.Context, a *Arrival, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(a.Kind.Within+answerGracePeriod))
	defer cancel()
	res := r.senders[a.Region](ctx, a, due)
	if r.isMeasured(a) {
		r.collector.addCall(newCall(a, due, res), r.options.Targets.Regions[a.Region].Region)
	}
}

func (r *Run) isMeasured(a *Arrival) bool {
	return a.Offset >= r.options.WarmUp
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Call is the result of a call, with latencies from the scheduled arrival.
type Call struct {
	Arrival      *Arrival
	Result       caller.Result
	FirstLatency time.Duration
	TotalLatency time.Duration
	// Correct is set if the complete answer to this call was received.
	Correct bool
	// InTime is set if the answer is also within the kind's latency limits.
	InTime bool
}

func newCall(a *Arrival, due time.Time, r caller.Result) Call {
	c := Call{
		Arrival:      a,
		Result:       r,
		TotalLatency: r.DoneAt.Sub(due),
	}
	if !r.FirstAt.IsZero() {
		c.FirstLatency = r.FirstAt.Sub(due)
	}
	c.Correct = r.Class == result.ClassDone && a.isCompleteAnswer(r.Text)
	c.InTime = c.Correct && c.TotalLatency <= a.Kind.Within && c.FirstLatency <= a.Kind.firstWithin()
	return c
}
