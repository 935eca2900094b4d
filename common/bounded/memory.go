package bounded

import (
	"context"
	"runtime"
	"sync"
	"time"
	"weak"
)

const (
	// uncollectedDivisor is the part of a budget that buffers may have beyond it until the
	// collector has freed those that are no longer in use.
	uncollectedDivisor = 8
	// maxCollections bounds the collections that an allocation waits for. A buffer that another
	// message releases during the first one is freed by the second.
	maxCollections = 2
	// minCounted is the number of buffers from which those that were freed are removed without a
	// collection, so that an unlimited budget doesn't keep a list of all.
	minCounted = 1 << 10
	// collectionPause is the time between two collections for a buffer that is waited for. Meanwhile
	// other messages end or break off.
	collectionPause = 10 * time.Millisecond
)

// memory bounds the bytes of buffers that the collector has not freed, in use or not. The
// collector's own limit doesn't bind while many large buffers are allocated during a cycle.
type memory struct {
	most    int
	collect func()

	mu sync.Mutex
	// bytes is the sum of buffers and of those that are being allocated, which are pending.
	bytes   int
	pending int
	// awaited is the sum of the buffers that are waited for.
	awaited int
	buffers []buffer
	// countAt is the number of buffers at which those that were freed are removed.
	countAt int
	// collecting is closed when the running collection ends; nil if none runs.
	collecting chan struct{}
}

// buffer is a buffer that was allocated.
type buffer struct {
	start weak.Pointer[byte]
	bytes int
}

func newMemory(budget int) *memory {
	return &memory{
		most:    budget + budget/uncollectedDivisor,
		collect: runtime.GC,
		countAt: minCounted,
	}
}

// allocate returns an empty buffer, or ErrNoRoom if buffers in use leave no memory for it.
func (m *memory) allocate(capacity int) ([]byte, error) {
	for range maxCollections {
		if m.take(capacity) {
			return m.newBuffer(capacity), nil
		}
		<-m.startCollection()
	}
	if m.take(capacity) {
		return m.newBuffer(capacity), nil
	}
	return nil, ErrNoRoom
}

// await is allocate for a buffer that goes before those that grow and waits for memory until ctx
// ends.
func (m *memory) await(ctx context.Context, capacity int) ([]byte, error) {
	m.addAwaited(capacity)
	defer m.addAwaited(-capacity)
	for collections := 0; ; collections++ {
		if m.takeAwaited(capacity) {
			return m.newBuffer(capacity), nil
		}
		if collections >= maxCollections {
			select {
			case <-ctx.Done():
				return nil, ErrNoRoom
			case <-time.After(collectionPause):
			}
		}
		<-m.startCollection()
	}
}

func (m *memory) addAwaited(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaited += bytes
}

// take returns false if there is no memory for a buffer before a collection.
func (m *memory) take(capacity int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.takeBeside(capacity, m.awaited)
}

// takeAwaited is take for a buffer that is awaited.
func (m *memory) takeAwaited(capacity int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.takeBeside(capacity, 0)
}

// takeBeside requires m.mu.
func (m *memory) takeBeside(capacity, others int) bool {
	if m.bytes+others+capacity > m.most {
		return false
	}
	m.bytes += capacity
	m.pending += capacity
	return true
}

// newBuffer returns a buffer for which take has made room.
func (m *memory) newBuffer(capacity int) []byte {
	data := make([]byte, 1, capacity)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending -= capacity
	m.buffers = append(m.buffers, buffer{
		start: weak.Make(&data[0]),
		bytes: capacity,
	})
	if len(m.buffers) >= m.countAt {
		m.removeFreed()
		m.countAt = max(minCounted, 2*len(m.buffers))
	}
	return data[:0]
}

// allocated returns the bytes of buffers that count as not freed.
func (m *memory) allocated() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}

// startCollection starts a collection unless one runs, and returns a channel that is closed when
// it has ended.
func (m *memory) startCollection() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.collecting != nil {
		return m.collecting
	}
	done := make(chan struct{})
	m.collecting = done
	go func() {
		m.collect()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.removeFreed()
		m.collecting = nil
		close(done)
	}()
	return done
}

// removeFreed requires m.mu.
func (m *memory) removeFreed() {
	kept := m.buffers[:0]
	m.bytes = m.pending
	for _, b := range m.buffers {
		if b.start.Value() != nil {
			kept = append(kept, b)
			m.bytes += b.bytes
		}
	}
	clear(m.buffers[len(kept):])
	m.buffers = kept
}
