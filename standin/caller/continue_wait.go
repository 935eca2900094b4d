package caller

import (
	"sync"
	"time"
)

// continueSteps is the number of steps in which a wait is counted.
const (
	continueSteps = 10
	continueStep  = continueTimeout / continueSteps
)

// continueWait gives a call up if its VM does not ask for the body before continueTimeout. The
// time is counted in steps, each no longer than it should be: while this process does not run, it
// reads no response either. The call is not given up while a response lies unread.
type continueWait struct {
	hasResponse func() bool
	giveUp      func()

	mu      sync.Mutex
	timer   *time.Timer
	steps   int
	stopped bool
}

func startContinueWait(hasResponse func() bool, giveUp func()) *continueWait {
	w := &continueWait{
		hasResponse: hasResponse,
		giveUp:      giveUp,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(continueStep, w.step)
	return w
}

func (w *continueWait) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.steps++
	if w.steps < continueSteps || w.hasResponse() {
		w.timer.Reset(continueStep)
		return
	}
	w.stopped = true
	w.giveUp()
}

// stop ends the wait.
func (w *continueWait) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
