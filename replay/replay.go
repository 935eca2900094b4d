package replay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Options set up a Replay.
type Options struct {
	HTTP *http.Client
	// VMs are "ip:port" of caller fronts.
	VMs []string
	// Endpoints are "ip:port" of stand-ins that count runs.
	Endpoints []string
	// Keys admit the trace's workspaces.
	Keys []Key
	// Speed divides the waits between steps; 1 keeps those of the recording.
	Speed float64
	Now   func() time.Time
	// Wait returns at a time, or earlier when the context ends.
	Wait func(ctx context.Context, until time.Time)
}

// Key is a caller's key.
type Key struct {
	Workspace string
	Secret    string
}

// Mismatch is one statement of the trace that did not hold.
type Mismatch struct {
	Line int    `json:"line"`
	Want string `json:"want"`
	Got  string `json:"got"`
}

// Report is what a replay found.
type Report struct {
	Steps      int        `json:"steps"`
	Mismatches []Mismatch `json:"mismatches"`
	// Unanswered counts steps that no VM answered; they are mismatches too.
	Unanswered int `json:"unanswered"`
}

// Outcome is what one step came to.
type Outcome struct {
	Code result.Code
	Body []byte
	// Err is set when no answer came.
	Err error
}

// Replay sends one trace.
type Replay struct {
	options Options
	tickets tickets
}

// New makes a replay.
func New(o Options) *Replay {
	return &Replay{
		options: o,
	}
}

// Run sends every step at its time, waits for all answers, and then counts runs.
func (r *Replay) Run(ctx context.Context, steps []Step) Report {
	outcomes := r.sendAll(ctx, steps)
	report := Report{
		Steps:      len(steps),
		Mismatches: []Mismatch{},
	}
	for i, o := range outcomes {
		if o.Err != nil {
			report.Unanswered++
		}
		report.add(compare(steps[i], o))
	}
	report.Mismatches = append(report.Mismatches, r.compareRuns(ctx, steps)...)
	slices.SortStableFunc(report.Mismatches, func(a, b Mismatch) int { return cmp.Compare(a.Line, b.Line) })
	return report
}

func (r *Report) add(m *Mismatch) {
	if m != nil {
		r.Mismatches = append(r.Mismatches, *m)
	}
}

func (r *Replay) sendAll(ctx context.Context, steps []Step) []Outcome {
	outcomes := make([]Outcome, len(steps))
	clock := shift{
		recorded: earliest(steps),
		started:  r.options.Now(),
		speed:    r.options.Speed,
	}
	var group sync.WaitGroup
	for i, step := range steps {
		group.Go(func() {
			r.options.Wait(ctx, clock.move(step.At))
			outcomes[i] = r.send(ctx, step, r.vmOf(i, step), clock)
		})
	}
	group.Wait()
	return outcomes
}

func earliest(steps []Step) time.Time {
	first := slices.MinFunc(steps, func(a, b Step) int { return a.At.Compare(b.At) })
	return first.At
}

func (r *Replay) vmOf(i int, step Step) string {
	n := i
	if step.Call.VM > 0 {
		n = step.Call.VM - 1
	}
	return r.options.VMs[n%len(r.options.VMs)]
}

// shift moves times of a recording to those of its replay.
type shift struct {
	recorded time.Time
	started  time.Time
	speed    float64
}

func (s shift) move(at time.Time) time.Time {
	since := float64(at.Sub(s.recorded)) / s.speed
	return s.started.Add(time.Duration(since))
}

// deadline moves a deadline. The time a call may take is that of the recording
// at any speed.
func (s shift) deadline(step Step) time.Time {
	return s.move(step.At).Add(step.Call.Deadline.Sub(step.At))
}

func compare(step Step, o Outcome) *Mismatch {
	want := step.Expect
	switch {
	case o.Err != nil:
		return mismatch(step, want.text(), "no answer: "+o.Err.Error())
	case want.Code != 0 && o.Code != want.Code, want.Class != "" && o.Code.Class() != want.Class:
		return mismatch(step, want.text(), fmt.Sprintf("code %d %s of class %s", o.Code, o.Code, o.Code.Class()))
	case !containsText(o.Body, want.Contains):
		return mismatch(step, fmt.Sprintf("a body with %q", want.Contains), fmt.Sprintf("%d bytes without it", len(o.Body)))
	}
	return nil
}

func mismatch(step Step, want, got string) *Mismatch {
	return &Mismatch{
		Line: step.Line,
		Want: want,
		Got:  got,
	}
}

func (e Expect) text() string {
	if e.Code != 0 {
		return fmt.Sprintf("code %d %s", e.Code, e.Code)
	}
	return "class " + string(e.Class)
}
