// Package mailbox sends messages to the goroutine that owns some state.
package mailbox

import "context"

// Mailbox queues messages until the owner receives them.
type Mailbox[M any] struct {
	messages chan M
}

// New returns a mailbox that queues up to capacity messages.
func New[M any](capacity int) Mailbox[M] {
	return Mailbox[M]{
		messages: make(chan M, capacity),
	}
}

// Messages returns the channel from which the owner receives.
func (m Mailbox[M]) Messages() <-chan M {
	return m.messages
}

// Send queues a message, and returns false without queueing it if ctx ends first.
func (m Mailbox[M]) Send(ctx context.Context, message M) bool {
	select {
	case m.messages <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

// TrySend queues a message if there is room. It never blocks.
func (m Mailbox[M]) TrySend(message M) bool {
	select {
	case m.messages <- message:
		return true
	default:
		return false
	}
}

// Call sends a request message and waits for the owner's reply. It returns ctx.Err()
// if ctx ends first.
func Call[T, M any](ctx context.Context, m Mailbox[M], newMessage func(reply chan<- T) M) (T, error) {
	var zero T
	reply := make(chan T, 1)
	if !m.Send(ctx, newMessage(reply)) {
		return zero, ctx.Err()
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
