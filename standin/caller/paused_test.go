package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// pausedCallerAddr is the environment variable with the address that the paused caller calls.
	pausedCallerAddr = "FUCHSIANOTCH_PAUSED_CALLER"
	pausedCalls      = 100
)

// continueServer asks for the body of each call and completes it. It signals each head that has
// arrived, and responds once answer is closed.
func continueServer(t *testing.T, answer <-chan struct{}) (addr string, heads <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	arrived := make(chan struct{}, pausedCalls)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			<-answer
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Fuchsianotch-Result", fmt.Sprint(int(result.Done)))
			_, _ = io.WriteString(w, `{"choices":[{"message":{"content":"whole"}}]}`)
		}),
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String(), arrived
}

func chatOnce(ctx context.Context, addr string, client *http.Client) Result {
	return New(Options{
		VMs:      []string{addr},
		Direct:   true,
		Key:      "w.secret",
		Client:   client,
		MaxTries: 1,
	}).Chat(ctx, Chat{
		Model:   "m",
		Message: "hello",
	})
}

// TestPausedCallerGivesNoCallUp guards against calls that end without 100 Continue as the process
// of the caller does not run, while the VM asks for their bodies at once.
func TestPausedCallerGivesNoCallUp(t *testing.T) {
	if addr := os.Getenv(pausedCallerAddr); addr != "" {
		callConcurrently(t, addr)
		return
	}
	t.Parallel()
	answer := make(chan struct{})
	addr, heads := continueServer(t, answer)
	program, err := os.Executable()
	assert.NilError(t, err)
	cmd := exec.CommandContext(t.Context(), program, "-test.run", "^"+t.Name()+"$", "-test.v")
	cmd.Env = append(os.Environ(), pausedCallerAddr+"="+addr)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	timeout := time.After(continueTimeout)
	for range pausedCalls {
		select {
		case <-heads:
		case <-timeout:
			t.Fatal("the caller sent too few calls")
		}
	}
	assert.NilError(t, cmd.Process.Signal(syscall.SIGSTOP))
	close(answer)
	time.Sleep(continueTimeout + time.Second)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGCONT))
	for lines := bufio.NewScanner(out); lines.Scan(); {
		t.Log(lines.Text())
	}
	assert.NilError(t, cmd.Wait())
}

func callConcurrently(t *testing.T, addr string) {
	t.Helper()
	client := NewClient()
	var calls sync.WaitGroup
	for range pausedCalls {
		calls.Go(func() {
			r := chatOnce(t.Context(), addr, client)
			assert.Check(t, r.Class == result.ClassDone, r.Message)
		})
	}
	calls.Wait()
}

// lateConn is a connection whose responses are read late.
type lateConn struct {
	*net.TCPConn
	readAt time.Time
}

// Read implements net.Conn.
func (c *lateConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.readAt))
	return c.TCPConn.Read(p)
}

// TestUnreadResponseIsAwaited guards against calls that are given up while 100 Continue lies
// unread in the caller's kernel.
func TestUnreadResponseIsAwaited(t *testing.T) {
	t.Parallel()
	answer := make(chan struct{})
	close(answer)
	addr, _ := continueServer(t, answer)
	client := NewClient()
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &lateConn{
			TCPConn: conn.(*net.TCPConn),
			readAt:  time.Now().Add(continueTimeout + time.Second),
		}, nil
	}
	r := chatOnce(t.Context(), addr, client)
	assert.Equal(t, r.Class, result.ClassDone, r.Message)
}
