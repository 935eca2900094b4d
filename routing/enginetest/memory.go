package enginetest

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

const (
	memoryStep = 20 * time.Millisecond
	// admittedChunk is the part of a prompt that must fit for a job to start; the rest is
	// allocated with its prefill.
	admittedChunk = 2048
)

// MemoryEngine is an Engine with a limited KV cache. It starts a job as soon as a slot and
// memory for the first chunk of its prompt are free. When memory runs out it preempts the
// newest of its least urgent runs, which are prefilled again.
type MemoryEngine struct {
	Engine
	Memory int
	// Preempted counts the preempted runs.
	Preempted int

	runs []*memoryRun
}

// memoryRun is a job in a slot; waiting jobs are kept in the Engine's queue.
type memoryRun struct {
	job      Job
	firstAt  time.Time
	perToken time.Duration
	// told is set once OnFirstToken was called.
	told bool
}

// generated returns the number of tokens that the run has generated.
func (r *memoryRun) generated(now time.Time) int {
	if now.Before(r.firstAt) {
		return 0
	}
	return min(1+int(now.Sub(r.firstAt)/r.perToken), r.job.Tokens)
}

// NewMemoryEngine returns an engine that advances its runs in steps of virtual time.
func NewMemoryEngine(e Engine, memory int) *MemoryEngine {
	m := &MemoryEngine{
		Engine: e,
		Memory: memory,
	}
	m.Clock.Every(memoryStep, m.step)
	return m
}

// Send queues a job.
func (m *MemoryEngine) Send(j Job) {
	m.waiting[j.Priority] = append(m.waiting[j.Priority], j)
	m.startWaiting()
}

// Used returns the memory in use; a prefix counts once for all runs.
func (m *MemoryEngine) Used() int {
	now := m.Clock.now
	used := 0
	pinned := map[uint64]bool{}
	for _, r := range m.runs {
		if r.firstAt.Add(-m.prefillTime(r.job.PromptTokens)).After(now) {
			used += min(admittedChunk, r.job.PromptTokens)
			continue
		}
		used += r.job.PromptTokens - r.job.PrefixTokens + r.generated(now)
		if !pinned[r.job.Prefix] {
			pinned[r.job.Prefix] = true
			used += r.job.PrefixTokens
		}
	}
	return used
}

func (m *MemoryEngine) prefillTime(tokens int) time.Duration {
	return seconds(0.01 + float64(tokens)/m.PrefillRate)
}

func (m *MemoryEngine) step() {
	now := m.Clock.now
	for i := 0; i < len(m.runs); {
		r := m.runs[i]
		if !r.told && !now.Before(r.firstAt) {
			r.told = true
			r.job.OnFirstToken()
		}
		if r.generated(now) < r.job.Tokens {
			i++
			continue
		}
		m.runs = slices.Delete(m.runs, i, i+1)
		m.running--
		r.job.OnEnd(call.Usage{
			PromptTokens:    r.job.PromptTokens,
			GeneratedTokens: r.job.Tokens,
		})
	}
	for m.Used() > m.Memory {
		m.preempt()
	}
	m.startWaiting()
}

// preempt puts the newest of the least urgent runs before the waiting jobs.
func (m *MemoryEngine) preempt() {
	victim := 0
	for i, r := range m.runs {
		if r.job.Priority >= m.runs[victim].job.Priority {
			victim = i
		}
	}
	r := m.runs[victim]
	m.runs = slices.Delete(m.runs, victim, victim+1)
	m.running--
	m.Preempted++
	if r.told {
		r.job.OnFirstToken = func() {}
	}
	r.job.Tokens -= min(r.generated(m.Clock.now), r.job.Tokens-1)
	m.waiting[r.job.Priority] = slices.Insert(m.waiting[r.job.Priority], 0, r.job)
}

func (m *MemoryEngine) startWaiting() {
	for p := range m.waiting {
		for len(m.waiting[p]) > 0 && m.running < m.Slots {
			j := m.waiting[p][0]
			if m.Used()+min(admittedChunk, j.PromptTokens) > m.Memory {
				return
			}
			m.waiting[p] = m.waiting[p][1:]
			m.start(j)
		}
	}
}

func (m *MemoryEngine) start(j Job) {
	m.running++
	cold := j.PromptTokens
	if m.lookup(j.Prefix) {
		cold -= j.PrefixTokens
	}
	m.PromptTokens += j.PromptTokens
	m.UncachedTokens += cold
	if m.prefillEndsAt.Before(m.Clock.now) {
		m.prefillEndsAt = m.Clock.now
	}
	m.prefillEndsAt = m.prefillEndsAt.Add(m.prefillTime(cold))
	m.runs = append(m.runs, &memoryRun{
		job:      j,
		firstAt:  m.prefillEndsAt,
		perToken: seconds((1 + float64(m.running)/float64(m.Slots)) / m.DecodeRate),
	})
}
