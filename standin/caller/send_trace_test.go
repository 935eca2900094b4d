package caller

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// fullWindow returns a client whose connections have more bytes to send than a peer that doesn't
// read takes, so that the head of a call stays unacknowledged.
func fullWindow() *http.Client {
	client := NewClient()
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		const size = 256 << 10
		if err := conn.(*net.TCPConn).SetWriteBuffer(4 * size); err != nil {
			return nil, err
		}
		_, err = conn.Write(make([]byte, size))
		return conn, err
	}
	return client
}

// TestGiveUpNamesProgress guards against calls given up without 100 Continue whose error doesn't
// tell whether they waited for a connection, for the VM's kernel or for the VM.
func TestGiveUpNamesProgress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	noConnection := NewClient()
	noConnection.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for name, c := range map[string]struct {
		client *http.Client
		want   string
	}{
		"no connection":  {noConnection, `: no 100 Continue before the timeout, no connection$`},
		"never accepted": {NewClient(), `, new connection from 127\.0\.0\.1:\d+ after \S+, head sent after \S+, 0 bytes unacknowledged$`},
		"unacknowledged": {fullWindow(), `, new connection from \S+ after \S+, head sent after \S+, [1-9]\d* bytes unacknowledged$`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := chatOnce(t.Context(), ln.Addr().String(), c.client)
			assert.Equal(t, r.Class, result.ClassNotRun)
			assert.Assert(t, cmp.Regexp(c.want, r.Message))
			assert.Assert(t, r.ContinuedAt.IsZero())
		})
	}
}
