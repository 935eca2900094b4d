// Package mailbox passes messages to the one goroutine that owns some state.
package mailbox

import "context"

// Mailbox holds messages until the owner takes them.
type Mailbox[M any] struct {
	messages chan M
}

// New makes a mailbox in which so many messages may wait.
func New[M any](length int) Mailbox[M] {
	return Mailbox[M]{
		messages: make(chan M, length),
	}
}

// Messages is where the owner takes them from.
func (m Mailbox[M]) Messages() <-chan M {
	return m.messages
}

// Send passes a message; it is lost, and false given, when ctx ends first.
func (m Mailbox[M]) Send(ctx context.Context, message M) bool {
	select {
	case m.messages <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

// Offer passes a message if there is room; it never waits.
func (m Mailbox[M]) Offer(message M) bool {
	select {
	case m.messages <- message:
		return true
	default:
		return false
	}
}

// Ask passes a question and waits for its answer, which the owner sends on the
// reply. The error is that of ctx.
func Ask[T, M any](ctx context.Context, m Mailbox[M], question func(reply chan<- T) M) (T, error) {
	var zero T
	reply := make(chan T, 1)
	if !m.Send(ctx, question(reply)) {
		return zero, ctx.Err()
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
