package caller

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// continueWithin is how long a VM may take to ask for a body. A body that was
// not asked for by then is never sent, so the call is certain not to have run.
const continueWithin = 5 * time.Second

var errRevoked = errors.New("the body was not asked for in time")

// States of a body. It leaves bodyUnread once, for one of the others.
const (
	bodyUnread int32 = iota
	bodyReading
	bodyRevoked
)

// body is a request body that knows whether any of it may have been sent.
type body struct {
	state atomic.Int32
	data  []byte
}

// Read returns the next bytes, or fails if the body was revoked before.
func (b *body) Read(into []byte) (int, error) {
	if b.state.Load() != bodyReading && !b.state.CompareAndSwap(bodyUnread, bodyReading) {
		return 0, errRevoked
	}
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(into, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close does nothing: the body holds no resource.
func (b *body) Close() error {
	return nil
}

// revoke forbids to send the body, and reports whether none of it was sent.
func (b *body) revoke() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyRevoked) || b.state.Load() == bodyRevoked
}
