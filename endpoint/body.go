package endpoint

import (
	"io"
	"time"
)

// openCheckInterval is how often the connection of a response is checked while its body is
// read. It is much shorter than the time in which a harmful call crashes its endpoint counts
// as sound, and spares a system call for each token.
const openCheckInterval = 100 * time.Millisecond

// trackedBody records when the connection of a response was last open. A slow caller or a
// pause of the VM delays the read of its end.
type trackedBody struct {
	io.ReadCloser
	x *exchange
	// checkedAt is when the connection was last checked, wasOpen the result.
	checkedAt time.Time
	wasOpen   bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	now := b.x.client.now()
	if now.Sub(b.checkedAt) >= openCheckInterval {
		b.checkedAt = now
		b.wasOpen = b.x.outcome.StillOpen == nil || b.x.outcome.StillOpen()
	}
	n, err := b.ReadCloser.Read(p)
	// An end that arrives during a pause may be read long after.
	if b.wasOpen && !b.x.client.paused() {
		b.x.outcome.OpenAt = b.x.client.now()
	}
	return n, err
}
