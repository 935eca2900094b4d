package call

import (
	"net/http"
	"sync"
)

// RetainedBody is a request body that counts in a budget of the VM until it is released. It is
// safe for concurrent use.
type RetainedBody struct {
	mu       sync.Mutex
	data     []byte
	free     func()
	released bool
}

// RetainBody returns a body that calls free when it is released.
func RetainBody(data []byte, free func()) *RetainedBody {
	return &RetainedBody{
		data: data,
		free: free,
	}
}

// Release gives the memory back. A nil body holds none.
func (b *RetainedBody) Release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return
	}
	b.released = true
	b.data = nil
	b.free()
}

func (b *RetainedBody) get() (data []byte, released bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data, b.released
}

// Payload returns the request body; nil after ReleaseBody.
func (c *Call) Payload() []byte {
	if c.Retained == nil {
		return c.Body
	}
	data, _ := c.Retained.get()
	return data
}

// BodyReleased reports whether the body is gone, so that the call can't be sent any more.
func (c *Call) BodyReleased() bool {
	if c.Retained == nil {
		return false
	}
	_, released := c.Retained.get()
	return released
}

// ReleaseBody gives the memory of the request body back.
func (c *Call) ReleaseBody() {
	c.Retained.Release()
}

// ReleasingBody returns a sink that releases the request body with the head of the response,
// unless another endpoint could resume the call after it: a response with a length is there as
// a whole, any other of an idempotent call may be resumed.
func (c *Call) ReleasingBody(sink Sink) Sink {
	head := sink.Head
	sink.Head = func(status int, header http.Header) error {
		if !c.Idempotent || header.Get("Content-Length") != "" {
			c.ReleaseBody()
		}
		return head(status, header)
	}
	return sink
}
