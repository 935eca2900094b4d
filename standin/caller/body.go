package caller

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// continueTimeout bounds the wait for 100 Continue. The body is not sent after it,
// so the call certainly did not run.
const continueTimeout = 5 * time.Second

var errRevoked = errors.New("no 100 Continue before the timeout")

// States of a body. The only transitions are from bodyUnread to another state.
const (
	bodyUnread int32 = iota
	bodyReading
	bodyRevoked
)

// revocableBody is a request body that can be revoked until its first read.
type revocableBody struct {
	state atomic.Int32
	data  []byte
}

// Read implements io.Reader. It fails if the body was revoked.
func (b *revocableBody) Read(into []byte) (int, error) {
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

// Close implements io.Closer.
func (b *revocableBody) Close() error {
	return nil
}

// revoke prevents the body from being sent. It returns false if reading has begun.
func (b *revocableBody) revoke() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyRevoked) || b.state.Load() == bodyRevoked
}
