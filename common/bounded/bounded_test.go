package bounded

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Endless responses must not take the room of small ones, and give theirs back.
func TestBudget(t *testing.T) {
	budget := Budget{total: 1 << 20}
	var shares []*Share
	for n := range 50 {
		s := &Share{budget: &budget}
		shares = append(shares, s)
		size := freeBufferBytes
		for s.Reserve(2*size, 1<<20) == nil {
			size *= 2
		}
		assert.Assert(t, budget.used <= budget.total)
		assert.Assert(t, n > 0 || size == 1<<19, "a single response gets two thirds, here in powers of two: %d", size)
	}
	small := Share{budget: &budget}
	assert.NilError(t, small.Reserve(freeBufferBytes, 1<<20))
	for _, s := range shares {
		s.Release()
	}
	assert.Equal(t, budget.used, 0)
}

// Large messages must wait for room in their order, leave what is reserved, and not hold up
// smaller ones that fit.
func TestTakeWaitsForRoom(t *testing.T) {
	budget := NewBudget(10 << 20)
	held := make([]Share, 3)
	for i := range held {
		held[i] = budget.ShareLeaving(2 << 20)
		assert.NilError(t, held[i].Take(t.Context(), 2<<20-connBufferBytes))
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	late, answer, small := budget.ShareLeaving(2<<20), budget.Share(), budget.ShareLeaving(2<<20)
	assert.ErrorIs(t, late.Take(ended, 2<<20-connBufferBytes), ErrNoRoom)
	assert.NilError(t, answer.Take(ended, 1<<20))
	answer.Release()
	tooLarge := budget.Share()
	assert.ErrorIs(t, tooLarge.Take(t.Context(), 9<<20), ErrNoRoom)

	waiting := make([]Share, 2)
	done := make(chan int, len(waiting))
	for i := range waiting {
		waiting[i] = budget.ShareLeaving(2 << 20)
		go func() {
			assert.Check(t, waiting[i].Take(t.Context(), 2<<20-connBufferBytes))
			done <- i
		}()
		for budget.Stats().Waited < i+2 {
		}
	}
	assert.NilError(t, small.Take(ended, 1<<12+freeBufferBytes))
	small.Release()
	for i := range waiting {
		held[i].Release()
		assert.Equal(t, <-done, i)
	}
	for i := range waiting {
		waiting[i].Release()
	}
	held[2].Release()
	assert.Equal(t, budget.Stats(), Stats{Total: 10 << 20, Waited: 3, Refused: 2})
}

// A response as long as the bound must be read whole, and a longer one only up to one byte more.
func TestReadAll(t *testing.T) {
	const most = 100_000
	for _, length := range []int{0, 1, most - 1, most, most + 1, 3 * most} {
		share := NewBudget(RoomFor(most)).Share()
		var body bytes.Buffer
		assert.NilError(t, share.ReadAll(&body, strings.NewReader(strings.Repeat("x", length)), most))
		assert.Equal(t, body.Len(), min(length, most+1))
		assert.Assert(t, body.Cap() <= max(most+2*bytes.MinRead+1, minBufferBytes))
	}
}
