package endpoint

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// fullBatchSlowdown is the relative increase of the step time at a full batch.
const fullBatchSlowdown = 0.5

// maxLateness bounds the time that an engine makes up for.
const maxLateness = 100 * time.Millisecond

// job is a request in the engine.
type job struct {
	id        string
	operation string
	marker    string
	priority  call.Priority
	// blocks holds the hashes of the prompt's prefix blocks.
	blocks       []uint64
	promptTokens int
	cachedTokens int
	// resumedFrom is the number of tokens that the caller already has. total is the
	// number of tokens of the complete answer.
	resumedFrom int
	total       int
	// prefillLeft is the number of prompt tokens still to compute.
	prefillLeft int
	// produced counts tokens, including those before resumedFrom; wake signals more.
	produced  atomic.Int64
	cancelled atomic.Bool
	wake      chan struct{}
	// ready is closed after the prefill, when cachedTokens is final.
	ready chan struct{}
}

// engine runs the batch in a single goroutine. Handlers read the progress of
// their jobs from the jobs' atomic counters.
type engine struct {
	options Options
	faults  *fault.Injector
	runs    *fault.RunCounter
	// submitted wakes the idle loop for a new job.
	submitted chan struct{}

	mu        sync.Mutex
	cache     *prefixCache
	running   []*job
	waiting   [call.Priorities][]*job
	last      *job
	generated int
}

func newEngine(o Options, faults *fault.Injector, runs *fault.RunCounter) *engine {
	return &engine{
		options:   o,
		faults:    faults,
		runs:      runs,
		submitted: make(chan struct{}, 1),
		cache:     newCache(o.CacheBlocks),
	}
}

// submit enqueues a job.
func (e *engine) submit(j *job) {
	e.mu.Lock()
	e.waiting[j.priority] = append(e.waiting[j.priority], j)
	e.mu.Unlock()
	notify(e.submitted)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run executes steps until ctx ends.
func (e *engine) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		e.faults.WaitWhileFrozen()
		wait := e.scheduleStep()
		if wait == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.submitted:
			}
			next = time.Now()
			continue
		}
		next = nextStep(next, time.Now(), wait)
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		e.runStep(wait)
	}
}

// nextStep returns the end of the step that follows on last. Steps make up for timers that fire
// late, by up to maxLateness.
func nextStep(last, now time.Time, step time.Duration) time.Time {
	next := last.Add(step)
	if earliest := now.Add(-maxLateness); next.Before(earliest) {
		return earliest
	}
	return next
}

// scheduleStep admits waiting jobs to the batch and returns the duration of the
// next step, or zero if the engine is idle.
func (e *engine) scheduleStep() time.Duration {
	isLeaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, (*job).isFinished)
	for priority := range e.waiting {
		queue := e.waiting[priority]
		for len(queue) > 0 && len(e.running) < e.options.Slots {
			j := queue[0]
			queue[0] = nil
			queue = queue[1:]
			if !j.cancelled.Load() {
				e.start(j, isLeaving)
			}
		}
		e.waiting[priority] = queue
	}
	if len(e.running) == 0 {
		return 0
	}
	fill := float64(len(e.running)) / float64(e.options.Slots)
	return time.Duration(float64(e.options.Step) * (1 + fullBatchSlowdown*fill))
}

func (e *engine) start(j *job, isLeaving bool) {
	j.cachedTokens = min(e.cache.match(j.blocks)*blockTokens, j.promptTokens)
	j.prefillLeft = j.promptTokens - j.cachedTokens + j.resumedFrom
	e.cache.insert(j.blocks)
	e.runs.AddRun(j.operation, isLeaving)
	e.runs.AddPromptTokens(j.promptTokens, j.cachedTokens)
	if j.prefillLeft == 0 {
		close(j.ready)
	}
	e.running = append(e.running, j)
	e.last = j
}

// runStep computes one step of the given duration: prefill in batch order up to
// the prefill rate, and one token for each job that has finished its prefill.
func (e *engine) runStep(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := max(int(float64(e.options.PrefillRate)*step.Seconds()), 1)
	generated := 0
	for _, j := range e.running {
		if j.prefillLeft > 0 {
			done := min(j.prefillLeft, budget)
			j.prefillLeft -= done
			budget -= done
			if j.prefillLeft == 0 {
				close(j.ready)
			}
			continue
		}
		if j.produced.Load() < int64(j.total) {
			j.produced.Add(1)
			generated++
		}
		notify(j.wake)
	}
	e.generated += generated
	e.runs.AddGeneratedTokens(generated)
}

func (j *job) isFinished() bool {
	return j.cancelled.Load() || j.prefillLeft == 0 && j.produced.Load() >= int64(j.total)
}

// otherJob returns the ID and marker of another request, for the Cross fault.
func (e *engine) otherJob(own *job) (id, marker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.running {
		if j != own {
			return j.id, j.marker
		}
	}
	if e.last != nil && e.last != own {
		return e.last.id, e.last.marker
	}
	return "other", "other"
}

// currentLoad returns the load without the report lag.
func (e *engine) currentLoad() loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := loadReport{
		At:        time.Now(),
		Slots:     e.options.Slots,
		Running:   len(e.running),
		generated: e.generated,
	}
	for _, queue := range e.waiting {
		l.Waiting += len(queue)
		for _, j := range queue {
			l.QueuedTokens += j.promptTokens
		}
	}
	for _, j := range e.running {
		l.QueuedTokens += j.prefillLeft
	}
	return l
}
