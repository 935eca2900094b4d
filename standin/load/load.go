// Package load is a stand-in for many callers. It sends calls by an open-loop
// schedule that is drawn from a seed, and records what became of them. Every
// time is counted from the scheduled arrival and not from the sending, so the
// record needs no further correction for coordinated omission.
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
	// defaultMaxCalls bounds the schedule of one run.
	defaultMaxCalls = 200_000
	// defaultMaxInFlight bounds the calls that wait for answers at once.
	defaultMaxInFlight = 8_192
	// graceAfterEnd bounds the wait for answers after the last deadline.
	graceAfterEnd = 5 * time.Second
)

// Options describe one run.
type Options struct {
	// Seed draws the schedule; the same seed gives the same calls.
	Seed uint64
	// Rate is the mean number of calls a second over all regions.
	Rate float64
	// Duration is the length of the schedule, with the warm-up.
	Duration time.Duration
	// WarmUp is the part at the start whose calls are sent and not counted.
	WarmUp time.Duration
	// Day is the length of the compressed day; zero means no peaks.
	Day time.Duration
	// Peak is how far the rate swings around its mean, from 0 to 1. Each
	// region's peak falls at another hour.
	Peak float64
	Mix  Mix
	// Targets say whom to call.
	Targets Targets
	// Direct sends every call straight to an endpoint, for comparison.
	Direct bool
	// MaxTries bounds the tries of one call; zero leaves it to the caller.
	MaxTries    int
	MaxCalls    int
	MaxInFlight int
	// Client is shared by all callers; nil makes one.
	Client *http.Client
}

// Run is one schedule being sent.
type Run struct {
	options  Options
	arrivals []Arrival
	senders  []sender
	tally    *tally
	inFlight chan struct{}
}

// sender sends one arrival's call.
type sender func(ctx context.Context, a *Arrival, due time.Time) caller.Result

// New draws the schedule. It fails when that is longer than MaxCalls.
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
	if err := o.check(); err != nil {
		return nil, err
	}
	arrivals, err := Schedule(o)
	if err != nil {
		return nil, err
	}
	r := &Run{
		options:  o,
		arrivals: arrivals,
		tally:    newTally(),
		inFlight: make(chan struct{}, o.MaxInFlight),
	}
	r.senders = r.newSenders()
	return r, nil
}

func (o *Options) check() error {
	switch {
	case o.Rate <= 0 || o.Duration <= 0:
		return fmt.Errorf("rate and duration must be above 0")
	case o.WarmUp < 0 || o.WarmUp >= o.Duration:
		return fmt.Errorf("the warm-up must be shorter than the duration")
	case o.Peak < 0 || o.Peak > 1:
		return fmt.Errorf("the peak must lie between 0 and 1")
	case len(o.Mix.Kinds) == 0 || len(o.Targets.Regions) == 0:
		return fmt.Errorf("the mix and the regions must not be empty")
	}
	return o.Targets.check(o.Direct)
}

// Send sends the schedule and waits for the answers. Its record has no counts
// of the endpoints and VMs; Measure adds them.
func (r *Run) Send(ctx context.Context) *Record {
	startedAt := time.Now()
	var group sync.WaitGroup
	for i := range r.arrivals {
		a := &r.arrivals[i]
		due := startedAt.Add(a.After)
		if !sleepUntil(ctx, due) {
			break
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.tally.shed(r.counts(a))
			continue
		}
		group.Go(func() {
			defer func() { <-r.inFlight }()
			r.send(ctx, a, due)
		})
	}
	group.Wait()
	return r.tally.record(r.options, startedAt)
}

func (r *Run) send(ctx context.Context, a *Arrival, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(a.Kind.Within+graceAfterEnd))
	defer cancel()
	res := r.senders[a.Region](ctx, a, due)
	if r.counts(a) {
		r.tally.take(newCall(a, due, res), r.options.Targets.Regions[a.Region].Region)
	}
}

func (r *Run) counts(a *Arrival) bool {
	return a.After >= r.options.WarmUp
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

// Call is one counted call with its times from the scheduled arrival.
type Call struct {
	Arrival *Arrival
	Result  caller.Result
	First   time.Duration
	Whole   time.Duration
	// Right is set when the whole own answer came.
	Right  bool
	InTime bool
}

func newCall(a *Arrival, due time.Time, r caller.Result) Call {
	c := Call{
		Arrival: a,
		Result:  r,
		Whole:   r.DoneAt.Sub(due),
	}
	if !r.FirstAt.IsZero() {
		c.First = r.FirstAt.Sub(due)
	}
	c.Right = r.Class == result.ClassDone && a.isAnswer(r.Text)
	c.InTime = c.Right && c.Whole <= a.Kind.Within && c.First <= a.Kind.firstWithin()
	return c
}
