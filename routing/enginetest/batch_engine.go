package enginetest

import (
	"slices"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/routing"
)

// The timing of a BatchEngine of speed 1. Its streams get a token every 6 ms in a full
// batch, and every 50 ms while it prefills without a pause.
const (
	batchStep         = 2600 * time.Microsecond
	batchStepPerCall  = 50 * time.Microsecond
	batchTokensPerMS  = 48.0
	batchChunkTokens  = 2048.0
	batchSlots        = 64
	tokensPerProgress = 4
)

// BatchEngine simulates continuous batching with chunked prefill: each decode step, which
// gives every running stream one token, also prefills at most one chunk.
type BatchEngine struct {
	Clock *Clock
	// Speed is relative to batchStep and batchTokensPerMS.
	Speed float64
	// Slowdown returns by which factor the next step is slower; nil means 1.
	Slowdown func() float64
	// OnePrefill makes prompts wait in the order of their queue levels until the ones before
	// them are prefilled, even if slots are free.
	OnePrefill bool
	// Stride is the number of tokens per OnProgress; zero means tokensPerProgress.
	Stride int

	lastID   uint64
	waiting  []*Stream
	prefills []*Stream
	running  []*Stream
	busy     bool
}

// Stream is one call at a BatchEngine.
type Stream struct {
	// PromptTokens are those that are not cached.
	PromptTokens float64
	Tokens       int
	QueueLevel   int
	// OnFirst is called at the first token, OnProgress after each further tokensPerProgress
	// tokens, and OnEnd after the last one.
	OnFirst    func()
	OnProgress func(gap time.Duration, tokens int)
	OnEnd      func()

	id         string
	generated  int
	progressAt time.Time
}

// BatchCapacity returns how many calls per second an engine of speed 1 serves in a full
// batch, given the mean tokens to prefill and to generate.
func BatchCapacity(promptTokens, tokens float64) float64 {
	step := batchStep + batchSlots*batchStepPerCall
	each := promptTokens/batchTokensPerMS/1000 + tokens*step.Seconds()/batchSlots
	return 1 / each
}

// Send queues a call.
func (e *BatchEngine) Send(s *Stream) {
	e.lastID++
	s.id = strconv.FormatUint(e.lastID, 16)
	e.waiting = append(e.waiting, s)
	if !e.busy {
		e.busy = true
		e.step()
	}
}

// Cancel removes a call wherever it is.
func (e *BatchEngine) Cancel(s *Stream) {
	for _, list := range []*[]*Stream{&e.waiting, &e.prefills, &e.running} {
		*list = slices.DeleteFunc(*list, func(other *Stream) bool { return other == s })
	}
}

// Load returns the engine's load report.
func (e *BatchEngine) Load() routing.Load {
	next := 0
	if len(e.waiting) > 0 {
		next = int(e.waiting[0].PromptTokens)
	}
	return routing.Load{
		At:         e.Clock.Now(),
		Slots:      batchSlots,
		Running:    len(e.prefills) + len(e.running),
		Waiting:    len(e.waiting),
		NextTokens: next,
	}
}

// Runs returns the number of events that each run has emitted, by its ID.
func (e *BatchEngine) Runs() map[string]int {
	runs := make(map[string]int, len(e.running))
	for _, s := range e.running {
		runs[s.id] = 1 + (s.generated-1)/e.stride()
	}
	return runs
}

func (e *BatchEngine) stride() int {
	if e.Stride > 0 {
		return e.Stride
	}
	return tokensPerProgress
}

func (e *BatchEngine) step() {
	e.fillSlots()
	if len(e.prefills)+len(e.running) == 0 {
		e.busy = false
		return
	}
	chunk := e.prefillChunk()
	duration := batchStep + time.Duration(len(e.running))*batchStepPerCall + time.Duration(chunk/batchTokensPerMS*float64(time.Millisecond))
	if e.Slowdown != nil {
		duration = time.Duration(float64(duration) * e.Slowdown())
	}
	stepping := slices.Clone(e.running)
	e.Clock.After(time.Duration(float64(duration)/e.Speed), func() {
		for _, s := range stepping {
			e.generate(s)
		}
		e.startPrefilled()
		e.step()
	})
}

// fillSlots moves waiting calls into free slots, those of the first queue level first.
func (e *BatchEngine) fillSlots() {
	slices.SortStableFunc(e.waiting, func(a, b *Stream) int { return a.QueueLevel - b.QueueLevel })
	n := min(batchSlots-len(e.prefills)-len(e.running), len(e.waiting))
	if e.OnePrefill {
		n = min(n, e.promptsForChunk())
	}
	e.prefills = append(e.prefills, e.waiting[:n]...)
	e.waiting = slices.Delete(e.waiting, 0, n)
}

// promptsForChunk returns how many waiting prompts the next chunk has room for.
func (e *BatchEngine) promptsForChunk() int {
	tokens, n := 0.0, 0
	for _, s := range e.prefills {
		tokens += s.PromptTokens
	}
	for tokens < batchChunkTokens && n < len(e.waiting) {
		tokens += e.waiting[n].PromptTokens
		n++
	}
	return n
}

// prefillChunk takes up to a chunk from the prompts in their order and returns its tokens.
func (e *BatchEngine) prefillChunk() float64 {
	left := batchChunkTokens
	for _, s := range e.prefills {
		tokens := min(left, s.PromptTokens)
		s.PromptTokens -= tokens
		left -= tokens
	}
	return batchChunkTokens - left
}

func (e *BatchEngine) startPrefilled() {
	for len(e.prefills) > 0 && e.prefills[0].PromptTokens <= 0 {
		s := e.prefills[0]
		e.prefills = e.prefills[1:]
		e.running = append(e.running, s)
		s.generated = 1
		s.progressAt = e.Clock.Now()
		s.OnFirst()
	}
}

func (e *BatchEngine) generate(s *Stream) {
	if !slices.Contains(e.running, s) {
		return
	}
	s.generated++
	if stride := e.stride(); (s.generated-1)%stride == 0 {
		s.OnProgress(e.Clock.Now().Sub(s.progressAt), stride)
		s.progressAt = e.Clock.Now()
	}
	if s.generated >= s.Tokens {
		e.Cancel(s)
		s.OnEnd()
	}
}
