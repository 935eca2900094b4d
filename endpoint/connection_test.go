package endpoint

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestRefusalsWithoutBodyCutNoOtherCall guards against closing a connection that the transport
// has handed to another call.
func TestRefusalsWithoutBodyCutNoOtherCall(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Attempt", "attempt-1")
		if requests.Add(1)%2 == 0 {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(2 * time.Millisecond)
		w.Header().Set("Signed", "s")
	}))
	defer server.Close()
	client := newRelayClient(t)
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			for range 100 {
				out := client.Send(t.Context(), routedCall(server.Listener.Addr().String(), ""), Sink{
					Head:  func(int, http.Header) error { return nil },
					Chunk: func([]byte) error { return nil },
				})
				assert.Check(t, out.Sent && (out.Code == result.Done || out.Code == result.EndpointRefused), "%v: %v", out.Err, errors.Unwrap(out.Err))
			}
		})
	}
	wg.Wait()
}

// TestSpoiledIdleConnectionsKeepNoCallBack guards against a call that is not sent, as the pool holds
// more spoiled connections than the call tries.
func TestSpoiledIdleConnectionsKeepNoCallBack(t *testing.T) {
	const conns = maxConnTries + 2
	var arrived sync.WaitGroup
	arrived.Add(conns)
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) <= conns {
			arrived.Done()
			arrived.Wait()
		}
		w.Header().Set("Attempt", "attempt-1")
		w.Header().Set("Signed", "s")
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	client := New(Options{
		Client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: conns,
			},
		},
		Dialect: testDialect,
	})
	send := func() Outcome {
		return client.Send(t.Context(), routedCall(addr, ""), Sink{
			Head:  func(int, http.Header) error { return nil },
			Chunk: func([]byte) error { return nil },
		})
	}
	var calls sync.WaitGroup
	for range conns {
		calls.Go(func() { assert.Check(t, send().Code == result.Done) })
	}
	calls.Wait()
	client.open.mu.Lock()
	spoiled := slices.Clone(client.open.byAddr[addr])
	client.open.mu.Unlock()
	assert.Equal(t, len(spoiled), conns)
	for _, conn := range spoiled {
		conn.tainted.Store(true)
	}
	out := send()
	assert.Equal(t, out.Code, result.Done, "%v: %v", out.Err, errors.Unwrap(out.Err))
	assert.Equal(t, requests.Load(), int64(conns+1))
}

// TestTaintedConnection guards against requests and proofs on a connection that an earlier
// attempt found to be shifted after the transport had handed it on.
func TestTaintedConnection(t *testing.T) {
	for _, written := range []bool{false, true} {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		go func() {
			buf := make([]byte, 1)
			for {
				if _, err := far.Read(buf); err != nil {
					return
				}
			}
		}()
		conn := &trackedConn{
			Conn:     near,
			registry: newOpenConns(),
		}
		take := func() *connTracker {
			tracker := &connTracker{
				beforeSend: func() error { return nil },
			}
			tracker.gotConn(httptrace.GotConnInfo{
				Conn:   conn,
				Reused: conn.user.Load() != nil,
			})
			return tracker
		}
		first := take()
		_, err := conn.Write([]byte("a"))
		assert.NilError(t, err)
		second := take()
		if written {
			_, err = conn.Write([]byte("b"))
			assert.NilError(t, err)
		}
		first.discard()
		assert.Assert(t, !conn.closed.Load(), "the second attempt has the connection")
		assert.Assert(t, !second.isFirstExchange())
		first.received()
		if written {
			second.release()
		} else {
			_, err = conn.Write([]byte("b"))
			assert.ErrorIs(t, err, net.ErrClosed)
			assert.Assert(t, second.brokeBeforeSend())
		}
		assert.Assert(t, conn.closed.Load())
	}
}
