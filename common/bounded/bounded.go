// Package bounded limits the memory of messages that are held in buffers, of each and of all
// together.
package bounded

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/bits"
	"slices"
	"sync"
)

// minBufferBytes is the size of a buffer at first.
const minBufferBytes = 4 << 10

// freeBufferBytes is the size up to which a buffer needs no share of the budget.
const freeBufferBytes = 16 << 10

// nearMostDivisor is the part of its largest size to which a buffer grows at once, as it would be
// copied for the rest.
const nearMostDivisor = 8

// connBufferBytes is what the connections of a message from and to other VMs, callers and
// endpoints hold besides it.
const connBufferBytes = 64 << 10

// freeFactor is how much a message may hold of what it leaves free. With 1 the heap grew by
// 108 MB instead of 85 under 200 endless responses of up to 16 MiB each.
const freeFactor = 2

// ErrNoRoom means that other messages hold the budget.
var ErrNoRoom = errors.New("other messages leave no room for this one")

// Budget bounds the bytes of all messages that are held at a time. Each may hold
// twice what it leaves free, so that one gets two thirds of the budget, n get 2/(2n+1) each,
// and small ones have room whatever the others do.
type Budget struct {
	total  int
	memory *memory

	mu      sync.Mutex
	used    int
	waiting []*waiter
	// waitingBytes is the sum of what the waiting messages want.
	waitingBytes int
	stats        Stats
}

// Stats are the figures of a budget, in bytes, and the number of messages that had to wait or
// found no room so far. Allocated are the buffers that were not freed when they were last counted.
type Stats struct {
	Total     int
	Used      int
	Allocated int

	Waited  int
	Refused int
}

// waiter is a message that waits for room.
type waiter struct {
	share   *Share
	bytes   int
	granted chan struct{}
}

// NewBudget returns a budget of so many bytes.
func NewBudget(total int) *Budget {
	return &Budget{
		total:  total,
		memory: newMemory(total),
	}
}

// RoomFor returns the least budget in which a single message has room for most bytes.
func RoomFor(most int) int {
	wanted := most + bytes.MinRead + connBufferBytes
	return wanted + (wanted+freeFactor-1)/freeFactor
}

// Share returns the share of a message, which must be released.
func (b *Budget) Share() Share {
	return Share{budget: b}
}

// ShareLeaving returns the share of a message that leaves a part of the budget to messages of
// other kinds.
func (b *Budget) ShareLeaving(reserved int) Share {
	return Share{
		budget:   b,
		reserved: reserved,
	}
}

// Stats returns the figures of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Total = b.total
	s.Used = b.used
	s.Allocated = b.memory.allocated()
	return s
}

// fits reports whether a share may hold so many bytes.
func (b *Budget) fits(s *Share, to int) bool {
	return to <= freeFactor*(b.total-s.reserved-(b.used-s.held+to))
}

func (b *Budget) hold(s *Share, to int) {
	b.used += to - s.held
	s.held = to
}

// grow changes what a share holds, and returns false if it may not hold so much.
func (b *Budget) grow(s *Share, to int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(s, to) {
		b.stats.Refused++
		return false
	}
	b.hold(s, to)
	return true
}

func (b *Budget) countRefused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Refused++
}

// take is grow for a message that waits for its room until ctx ends.
func (b *Budget) take(ctx context.Context, s *Share, to int) error {
	w := b.enqueue(s, to)
	if w == nil {
		return ErrNoRoom
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.Index(b.waiting, w)
	if at < 0 {
		return nil
	}
	b.removeWaiter(at)
	b.stats.Refused++
	return ErrNoRoom
}

// enqueue returns a waiter, which is granted at once if there is room. It returns nil if the
// message would never fit alone or if those that wait already want the whole budget.
func (b *Budget) enqueue(s *Share, to int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{
		share:   s,
		bytes:   to,
		granted: make(chan struct{}),
	}
	if !slices.ContainsFunc(b.waiting, w.comesAfter) && b.fits(s, to) {
		b.hold(s, to)
		close(w.granted)
		return w
	}
	fitsAlone := to <= freeFactor*(b.total-s.reserved-to)
	if !fitsAlone || b.waitingBytes+to > b.total {
		b.stats.Refused++
		return nil
	}
	b.stats.Waited++
	b.waiting = append(b.waiting, w)
	b.waitingBytes += to
	return w
}

// comesAfter reports whether a message that wants no more than w has waited for longer.
func (w *waiter) comesAfter(earlier *waiter) bool {
	return earlier.bytes <= w.bytes && earlier.share.reserved <= w.share.reserved
}

func (b *Budget) removeWaiter(at int) {
	b.waitingBytes -= b.waiting[at].bytes
	b.waiting = slices.Delete(b.waiting, at, at+1)
}

// release gives back what a share holds, and grants room to those that wait for it.
func (b *Budget) release(s *Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hold(s, 0)
	for at := 0; at < len(b.waiting); {
		w := b.waiting[at]
		if !b.fits(w.share, w.bytes) {
			at++
			continue
		}
		b.hold(w.share, w.bytes)
		b.removeWaiter(at)
		close(w.granted)
	}
}

// Share is the part of the budget that one message holds.
type Share struct {
	budget   *Budget
	reserved int
	held     int
}

// Reserve makes room for so many bytes, in powers of two up to most, so that the budget is
// asked a few times for each message only.
func (s *Share) Reserve(bytes, most int) error {
	if bytes <= max(s.held, freeBufferBytes) {
		return nil
	}
	wanted := max(min(1<<bits.Len(uint(bytes-1)), most), bytes)
	if !s.budget.grow(s, wanted) {
		return ErrNoRoom
	}
	return nil
}

// Take makes room for a message of a known length and for the buffers of its connections. It
// waits until ctx ends, unless those that wait already want the whole budget.
func (s *Share) Take(ctx context.Context, bytes int) error {
	if bytes <= max(s.held, freeBufferBytes) {
		return nil
	}
	return s.budget.take(ctx, s, bytes+connBufferBytes)
}

// Release gives back what the message holds.
func (s *Share) Release() {
	if s.held > 0 {
		s.budget.release(s)
	}
}

// Allocate returns an empty buffer of a capacity, for which the message has taken room. It waits
// until ctx ends while the buffers of other messages fill the memory.
func (s *Share) Allocate(ctx context.Context, capacity int) ([]byte, error) {
	if capacity <= freeBufferBytes {
		return make([]byte, 0, capacity), nil
	}
	data, err := s.budget.memory.await(ctx, capacity)
	if err != nil {
		s.budget.countRefused()
	}
	return data, err
}

// newBuffer is Allocate for a buffer that grows, which waits only for what is not collected.
func (s *Share) newBuffer(capacity int) ([]byte, error) {
	if capacity <= freeBufferBytes {
		return make([]byte, 0, capacity), nil
	}
	data, err := s.budget.memory.allocate(capacity)
	if err != nil {
		s.budget.countRefused()
	}
	return data, err
}

// Grow returns the data in a buffer with a capacity of at least the given size, which doubles up
// to most. It makes room beside other bytes that the message holds.
func (s *Share) Grow(data []byte, size, most, others int) ([]byte, error) {
	if size <= cap(data) {
		return data, nil
	}
	wanted := max(size, 2*cap(data), minBufferBytes)
	if wanted > most-most/nearMostDivisor {
		wanted = max(size, most)
	}
	if err := s.Reserve(others+wanted, others+most); err != nil {
		return data, err
	}
	grown, err := s.newBuffer(wanted)
	if err != nil {
		return data, err
	}
	return append(grown, data...), nil
}

// ReadAll appends a body to a buffer, at most one byte more than most.
func (s *Share) ReadAll(to *bytes.Buffer, body io.Reader, most int) error {
	limited := io.LimitReader(body, int64(most)+1)
	for to.Len() <= most {
		if to.Available() < bytes.MinRead {
			data, err := s.Grow(to.Bytes(), to.Len()+bytes.MinRead, most+bytes.MinRead, 0)
			if err != nil {
				return err
			}
			*to = *bytes.NewBuffer(data)
		}
		space := to.AvailableBuffer()
		n, err := limited.Read(space[:cap(space)])
		_, _ = to.Write(space[:n])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}
