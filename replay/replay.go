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

// Options configures a Replay.
type Options struct {
	HTTP *http.Client
	// VMs are the addresses of caller listeners, "ip:port".
	VMs []string
	// Endpoints are the addresses of test endpoints that count runs, "ip:port".
	Endpoints []string
	// Keys authenticate the workspaces of the trace.
	Keys []Key
	// Speed divides the intervals between steps; 1 keeps those of the recording.
	Speed float64
	Now   func() time.Time
	// Wait blocks until a time, or until ctx ends.
	Wait func(ctx context.Context, until time.Time)
}

// Key is a workspace's API key.
type Key struct {
	Workspace string
	Secret    string
}

// Mismatch is an expectation of the trace that was not met.
type Mismatch struct {
	Line int    `json:"line"`
	Want string `json:"want"`
	Got  string `json:"got"`
}

// Report is the result of a replay.
type Report struct {
	Steps      int        `json:"steps"`
	Mismatches []Mismatch `json:"mismatches"`
	// Unanswered counts steps without a valid response; they are mismatches too.
	Unanswered int `json:"unanswered"`
}

// Outcome is the response to one step.
type Outcome struct {
	Code result.Code
	Body []byte
	// Err is set if there was no valid response.
	Err error
}

// Replay sends the steps of one trace.
type Replay struct {
	options Options
	tickets ticketCache
}

// New returns a replay that has sent nothing yet.
func New(o Options) *Replay {
	return &Replay{
		options: o,
	}
}

// Run sends each step at its time, waits for all responses, and then checks the runs.
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
		report.add(compareOutcome(steps[i], o))
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
	times := timeMap{
		recordingStart: earliestTime(steps),
		replayStart:    r.options.Now(),
		speed:          r.options.Speed,
	}
	var group sync.WaitGroup
	for i, step := range steps {
		group.Go(func() {
			r.options.Wait(ctx, times.replayTime(step.At))
			outcomes[i] = r.send(ctx, step, r.vmFor(i, step), times)
		})
	}
	group.Wait()
	return outcomes
}

func earliestTime(steps []Step) time.Time {
	first := slices.MinFunc(steps, func(a, b Step) int { return a.At.Compare(b.At) })
	return first.At
}

func (r *Replay) vmFor(i int, step Step) string {
	n := i
	if step.Call.VM > 0 {
		n = step.Call.VM - 1
	}
	return r.options.VMs[n%len(r.options.VMs)]
}

// timeMap converts times of a recording to times of its replay.
type timeMap struct {
	recordingStart time.Time
	replayStart    time.Time
	speed          float64
}

func (m timeMap) replayTime(at time.Time) time.Time {
	elapsed := float64(at.Sub(m.recordingStart)) / m.speed
	return m.replayStart.Add(time.Duration(elapsed))
}

// replayDeadline converts a step's deadline. The time from the call to its deadline does
// not depend on the speed.
func (m timeMap) replayDeadline(step Step) time.Time {
	return m.replayTime(step.At).Add(step.Call.Deadline.Sub(step.At))
}

func compareOutcome(step Step, o Outcome) *Mismatch {
	want := step.Expect
	switch {
	case o.Err != nil:
		return newMismatch(step, want.describe(), "error: "+o.Err.Error())
	case want.Code != 0 && o.Code != want.Code, want.Class != "" && o.Code.Class() != want.Class:
		return newMismatch(step, want.describe(), fmt.Sprintf("code %d %s of class %s", o.Code, o.Code, o.Code.Class()))
	case !containsText(o.Body, want.Contains):
		return newMismatch(step, fmt.Sprintf("a body with %q", want.Contains), fmt.Sprintf("%d bytes without it", len(o.Body)))
	}
	return nil
}

func newMismatch(step Step, want, got string) *Mismatch {
	return &Mismatch{
		Line: step.Line,
		Want: want,
		Got:  got,
	}
}

func (e Expect) describe() string {
	if e.Code != 0 {
		return fmt.Sprintf("code %d %s", e.Code, e.Code)
	}
	return "class " + string(e.Class)
}
