package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// lateConn is a socket whose end is never read.
type lateConn struct {
	*net.TCPConn
}

// Read returns data, and blocks at the end of the connection until it is closed here.
func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == nil {
		return n, nil
	}
	for c.SetDeadline(time.Time{}) == nil {
		time.Sleep(time.Millisecond)
	}
	return n, err
}

// poolDelay is longer than a connection takes to return to the pool, or its end to arrive.
const poolDelay = 50 * time.Millisecond

// TestCallToVMThatIsGone guards against a call that counts as lost with a VM which was gone
// before, as the end of a kept connection to it was not read yet.
func TestCallToVMThatIsGone(t *testing.T) {
	row := forwardRow{
		Steps: []string{"head", "end"},
	}
	remote := &remoteVM{
		row: row,
	}
	addr := remote.listen(t)
	client := New(Options{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := tcp.Dialer(time.Second).DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return &lateConn{
				TCPConn: conn.(*net.TCPConn),
			}, nil
		},
	})
	defer func() { _ = client.Close() }()
	vm := fleet.VM{
		ID:       "far",
		PeerAddr: addr,
	}
	send := func() result.Code {
		return client.Forward(t.Context(), vm, row.request(), row.sink(nil), func(uint64) {}).Code
	}
	assert.Equal(t, send(), result.Done)
	// The connection returns to the pool after the call.
	time.Sleep(poolDelay)
	remote.stop()
	time.Sleep(poolDelay)
	assert.Equal(t, send(), result.PeerUnreachable)
}

// TestCallReadByLostVMMayHaveRun guards against a call that runs twice, as the VM that had
// read it from a kept connection counts as not reached.
func TestCallReadByLostVMMayHaveRun(t *testing.T) {
	row := forwardRow{
		Steps: []string{"head", "end"},
	}
	remote := &remoteVM{
		row: row,
	}
	addr := remote.listen(t)
	client := New(Options{})
	defer func() { _ = client.Close() }()
	vm := fleet.VM{
		ID:       "far",
		PeerAddr: addr,
	}
	send := func() result.Code {
		return client.Forward(t.Context(), vm, row.request(), row.sink(nil), func(uint64) {}).Code
	}
	assert.Equal(t, send(), result.Done)
	time.Sleep(poolDelay)
	kept := remote.conn.Load()
	remote.row.Steps = []string{"cut"}
	assert.Equal(t, send(), result.PeerLost)
	assert.Equal(t, remote.conn.Load(), kept, "the call was sent once more")
}
