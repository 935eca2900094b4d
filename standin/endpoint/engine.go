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

// batchCost is how much longer a step of a full batch takes than an empty one's.
const batchCost = 0.5

// job is one request in the engine.
type job struct {
	id        string
	operation string
	marker    string
	priority  call.Priority
	// blocks are the hashes of the prompt's prefix blocks.
	blocks       []uint64
	promptTokens int
	cachedTokens int
	// from is the number of tokens that the caller has already; total is where to stop.
	from  int
	total int
	// prefill is the number of prompt tokens still to be computed.
	prefill int
	// produced counts tokens, with those before from; wake tells of more.
	produced  atomic.Int64
	cancelled atomic.Bool
	wake      chan struct{}
	// ready is closed after the prefill; the fields that the engine sets are fixed then.
	ready chan struct{}
}

// engine steps the batch in one goroutine; jobs only read their own counts.
type engine struct {
	options Options
	faults  *fault.Switch
	runs    *fault.Runs
	// work tells the idle loop of a new job.
	work chan struct{}

	mu        sync.Mutex
	cache     *cache
	running   []*job
	waiting   [call.Priorities][]*job
	last      *job
	generated int
}

func newEngine(o Options, faults *fault.Switch, runs *fault.Runs) *engine {
	return &engine{
		options: o,
		faults:  faults,
		runs:    runs,
		work:    make(chan struct{}, 1),
		cache:   newCache(o.CacheBlocks),
	}
}

// submit queues a job.
func (e *engine) submit(j *job) {
	e.mu.Lock()
	e.waiting[j.priority] = append(e.waiting[j.priority], j)
	e.mu.Unlock()
	notify(e.work)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run steps the batch until ctx ends.
func (e *engine) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		e.faults.Thaw()
		wait := e.begin()
		if wait == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.work:
			}
			next = time.Now()
			continue
		}
		next = next.Add(wait)
		if behind := time.Now(); next.Before(behind) {
			next = behind
		}
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		e.advance(wait)
	}
}

// begin fills the batch, and gives the time of its next step; zero means idle.
func (e *engine) begin() time.Duration {
	isLeaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, (*job).ended)
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
	return time.Duration(float64(e.options.Step) * (1 + batchCost*fill))
}

func (e *engine) start(j *job, isLeaving bool) {
	j.cachedTokens = min(e.cache.match(j.blocks)*blockTokens, j.promptTokens)
	j.prefill = j.promptTokens - j.cachedTokens + j.from
	e.cache.insert(j.blocks)
	e.runs.Begin(j.operation, isLeaving)
	e.runs.Prompt(j.promptTokens, j.cachedTokens)
	if j.prefill == 0 {
		close(j.ready)
	}
	e.running = append(e.running, j)
	e.last = j
}

// advance does what one step of the given time computes: prefill in order of
// arrival within the rate, and one token for each job past its prefill.
func (e *engine) advance(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := max(int(float64(e.options.PrefillRate)*step.Seconds()), 1)
	generated := 0
	for _, j := range e.running {
		if j.prefill > 0 {
			done := min(j.prefill, budget)
			j.prefill -= done
			budget -= done
			if j.prefill == 0 {
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
	e.runs.Generated(generated)
}

func (j *job) ended() bool {
	return j.cancelled.Load() || j.prefill == 0 && j.produced.Load() >= int64(j.total)
}

// other returns the id and marker of another request, for crossed answers.
func (e *engine) other(own *job) (id, marker string) {
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

// load is the true load now.
func (e *engine) load() load {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := load{
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
		l.QueuedTokens += j.prefill
	}
	return l
}
