package caller

import (
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
)

// sendTrace records how far an attempt got before its VM asked for the body.
type sendTrace struct {
	startedAt time.Time

	mu          sync.Mutex
	conn        net.Conn
	reused      bool
	connectedAt time.Time
	headSentAt  time.Time
	continuedAt time.Time
}

func newSendTrace() *sendTrace {
	return &sendTrace{
		startedAt: time.Now(),
	}
}

func (t *sendTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        t.gotConn,
		WroteHeaders:   func() { t.set(&t.headSentAt) },
		Got100Continue: func() { t.set(&t.continuedAt) },
	}
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = info.Conn
	t.reused = info.Reused
	t.connectedAt = time.Now()
	// The transport takes another connection if a reused one turns out to be closed.
	t.headSentAt = time.Time{}
}

func (t *sendTrace) set(at *time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*at = time.Now()
}

func (t *sendTrace) times() (connectedAt, continuedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connectedAt, t.continuedAt
}

// hasResponse reports whether the VM asked for the body, or the connection has unread bytes.
func (t *sendTrace) hasResponse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.continuedAt.IsZero() || tcp.IsReadable(t.conn)
}

// String describes the progress. Bytes that the VM's kernel has not acknowledged tell a kernel
// that drops packets from a process that does not read them.
func (t *sendTrace) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.connectedAt.IsZero():
		return "no connection"
	case t.headSentAt.IsZero():
		return fmt.Sprintf("%s, head not sent", t.connection())
	default:
		return fmt.Sprintf("%s, head sent after %s, %d bytes unacknowledged",
			t.connection(), t.after(t.headSentAt), tcp.Unacknowledged(t.conn))
	}
}

// connection requires t.mu.
func (t *sendTrace) connection() string {
	kind := "new"
	if t.reused {
		kind = "reused"
	}
	return fmt.Sprintf("%s connection from %s after %s", kind, t.conn.LocalAddr(), t.after(t.connectedAt))
}

func (t *sendTrace) after(at time.Time) time.Duration {
	return at.Sub(t.startedAt).Round(time.Millisecond)
}
