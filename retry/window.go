package retry

import (
	"sync"
	"time"
)

const (
	// windowParts is how finely a window slides.
	windowParts = 20
	// keptBack is the part of the bound that is left unused: requests and repeats
	// are counted here as they are sent, and elsewhere as they arrive.
	keptBack = 0.1
)

// WindowOptions set up a Window.
type WindowOptions struct {
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Slack is how many repeats all VMs together may make beyond that.
	Slack float64
	// Length is that of the window, in which both count.
	Length time.Duration
	// VMs returns the number of VMs that share the slack; zero or less means that
	// it is not known yet, and that nothing of the slack is used.
	VMs func() int
	// SlackFrom is from when on this VM uses its part of the slack: one Length after
	// its start, as what an earlier life of it used before is not known, and what
	// others are there only after some exchanges.
	SlackFrom time.Time
	Now       func() time.Time
}

// Window bounds the repeats to one service in any window of time: this VM's
// own requests allow it a ratio, and it uses its part of the fleet's slack. So
// the sum over all VMs keeps the bound without a message between them. It is
// safe for concurrent use.
type Window struct {
	options WindowOptions
	mu      sync.Mutex
	parts   [windowParts]windowPart
}

type windowPart struct {
	number   int64
	requests int
	repeats  int
}

// NewWindow makes an empty Window.
func NewWindow(o WindowOptions) *Window {
	return &Window{
		options: o,
	}
}

// OnRequest counts one first attempt.
func (w *Window) OnRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part().requests++
}

// Allow takes one repeat from the budget, if there is one.
func (w *Window) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.part()
	requests, repeats := w.sums(current.number)
	bound := w.options.Ratio * float64(requests)
	if vms := w.options.VMs(); vms > 0 && !w.options.Now().Before(w.options.SlackFrom) {
		bound += w.options.Slack / float64(vms)
	}
	if float64(repeats+1) > bound*(1-keptBack) {
		return false
	}
	current.repeats++
	return true
}

// part is that of now, emptied if it is of an earlier round.
func (w *Window) part() *windowPart {
	length := w.options.Length / windowParts
	number := w.options.Now().UnixNano() / int64(max(length, 1))
	part := &w.parts[number%windowParts]
	if part.number != number {
		*part = windowPart{
			number: number,
		}
	}
	return part
}

func (w *Window) sums(now int64) (requests, repeats int) {
	for _, part := range w.parts {
		if part.number > now-windowParts {
			requests += part.requests
			repeats += part.repeats
		}
	}
	return requests, repeats
}
