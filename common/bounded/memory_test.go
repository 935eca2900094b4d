package bounded

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/endlesstest"
)

// endless is a body that doesn't end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	return len(p), nil
}

// Guards against a heap that grows by the garbage of buffers beside the budget, as the collector
// falls behind.
func TestGarbageCountsAsMemory(t *testing.T) {
	const (
		total      = 16 << 20
		most       = 4 << 20
		goroutines = 8
		rounds     = 20
	)
	budget := NewBudget(total)
	peak := endlesstest.PeakHeap(func() {
		debug.SetGCPercent(-1)
		var readers sync.WaitGroup
		for range goroutines {
			readers.Go(func() {
				for range rounds {
					share := budget.Share()
					var body bytes.Buffer
					_ = share.ReadAll(&body, endless{}, most)
					share.Release()
				}
			})
		}
		readers.Wait()
	})
	assert.Assert(t, peak < total+total/4, "heap +%d kB", peak>>10)
	share := budget.Share()
	defer share.Release()
	var body bytes.Buffer
	assert.NilError(t, share.ReadAll(&body, io.LimitReader(endless{}, most), most))
	assert.Equal(t, body.Len(), most)
}

// Buffers in use must not be taken for garbage.
func TestBuffersInUseLeaveNoRoom(t *testing.T) {
	m := newMemory(8 << 20)
	first, err := m.allocate(8 << 20)
	assert.NilError(t, err)
	_, err = m.allocate(2 << 20)
	assert.ErrorIs(t, err, ErrNoRoom)
	runtime.KeepAlive(first)
	_, err = m.allocate(2 << 20)
	assert.NilError(t, err)
}

// The list of buffers must not grow without end where nothing asks for a collection.
func TestFreedBuffersAreForgotten(t *testing.T) {
	m := newMemory(1 << 40)
	for range 4 * minCounted {
		_, err := m.allocate(freeBufferBytes + 1)
		assert.NilError(t, err)
		if len(m.buffers) == minCounted-1 {
			runtime.GC()
		}
	}
	assert.Assert(t, len(m.buffers) < 2*minCounted, len(m.buffers))
}

// A buffer that grows must keep its data and make room for the bytes beside it.
func TestGrow(t *testing.T) {
	share := NewBudget(1 << 20).Share()
	defer share.Release()
	data, err := share.Grow(make([]byte, 20_000), 30_000, 100_000, 50_000)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 20_000)
	assert.Assert(t, cap(data) >= 30_000)
	assert.Assert(t, share.held >= cap(data)+50_000, share.held)
	data, err = share.Grow(data, 90_000, 100_000, 0)
	assert.NilError(t, err)
	assert.Equal(t, cap(data), 100_000)
	_, err = share.Grow(data, 800_000, 900_000, 0)
	assert.ErrorIs(t, err, ErrNoRoom)
}

// A buffer that is waited for must go before those that grow, and not fail while others end.
func TestAwaitedBufferGoesFirst(t *testing.T) {
	m := newMemory(8 << 20)
	first, err := m.allocate(4 << 20)
	assert.NilError(t, err)
	awaited := make(chan error)
	go func() {
		_, err := m.await(t.Context(), 8<<20)
		awaited <- err
	}()
	for {
		m.mu.Lock()
		isAwaited := m.awaited > 0
		m.mu.Unlock()
		if isAwaited {
			break
		}
		runtime.Gosched()
	}
	_, err = m.allocate(2 << 20)
	assert.ErrorIs(t, err, ErrNoRoom)
	runtime.KeepAlive(first)
	assert.NilError(t, <-awaited)
	assert.Equal(t, m.awaited, 0)

	second, err := m.allocate(8 << 20)
	assert.NilError(t, err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = m.await(ended, 2<<20)
	assert.ErrorIs(t, err, ErrNoRoom)
	runtime.KeepAlive(second)
}
