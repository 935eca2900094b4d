// Package endlesstest is a faulty server for tests that sends bytes without end until its
// client closes the connection.
package endlesstest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Script is what the server sends on each connection.
type Script struct {
	Name string
	// Head is sent once, and Repeat without end.
	Head   string
	Repeat string
	// Slow sends one Repeat at a time, with slowPause between two.
	Slow bool
	// Any starts to send after any byte, instead of after an HTTP request.
	Any bool
}

// Server plays a script on each connection.
type Server struct {
	Addr string

	script Script
	// playing is the number of connections that got a request and are open.
	playing  atomic.Int64
	requests atomic.Int64
	ended    atomic.Int64
	sent     atomic.Int64

	mu sync.Mutex
	// received is the start of what each ended connection with a request received.
	received [][]byte
}

// writeBytes is the size of one write of the server.
const writeBytes = 16 << 10

const slowPause = 20 * time.Millisecond

// maxReceivedBytes bounds what is kept of a connection's bytes. Requests in these tests have
// some hundred bytes.
const maxReceivedBytes = 4 << 10

// Serve starts a server that answers each connection's first request.
func Serve(t *testing.T, s Script) *Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	server := &Server{
		Addr:   ln.Addr().String(),
		script: s,
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go server.play(conn)
		}
	}()
	return server
}

func (s *Server) play(conn net.Conn) {
	defer s.ended.Add(1)
	defer func() { _ = conn.Close() }()
	// Smaller kernel buffers make the tests faster.
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetWriteBuffer(writeBytes)
	}
	var received bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &received))
	if s.script.Any {
		if _, err := reader.ReadByte(); err != nil {
			return
		}
	} else if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	s.requests.Add(1)
	s.playing.Add(1)
	defer s.playing.Add(-1)
	defer func() { s.record(received.Bytes()) }()
	var rest sync.WaitGroup
	rest.Go(func() { _, _ = io.CopyN(io.Discard, reader, maxReceivedBytes) })
	s.send(conn)
	// The client has closed the connection, so that the end of its bytes is near.
	rest.Wait()
}

func (s *Server) send(conn net.Conn) {
	_, _ = io.WriteString(conn, s.script.Head)
	data := []byte(strings.Repeat(s.script.Repeat, writeBytes/len(s.script.Repeat)+1))
	if s.script.Slow {
		data = []byte(s.script.Repeat)
	}
	for {
		if s.script.Slow {
			time.Sleep(slowPause)
		}
		n, err := conn.Write(data)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func (s *Server) record(received []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, received)
}

// Received reports whether a connection with a request that has ended received the marker.
func (s *Server) Received(marker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, data := range s.received {
		if bytes.Contains(data, []byte(marker)) {
			return true
		}
	}
	return false
}

// Requests returns the number of connections that got a request.
func (s *Server) Requests() int {
	return int(s.requests.Load())
}

// Sent returns the number of bytes sent over all connections, apart from the heads.
func (s *Server) Sent() int64 {
	return s.sent.Load()
}

// AssertClosed fails the test unless the client has closed all connections with a request
// within a time. A connection that was dialed for a request which had timed out is idle.
func (s *Server) AssertClosed(t *testing.T, within time.Duration) {
	t.Helper()
	assertZero(t, within, s.playing.Load)
}

// AssertEnded fails the test unless all connections that the client dialed have ended within
// a time. Received is then complete.
func (s *Server) AssertEnded(t *testing.T, dialed int64, within time.Duration) {
	t.Helper()
	assertZero(t, within, func() int64 { return dialed - s.ended.Load() })
}

func assertZero(t *testing.T, within time.Duration, open func() int64) {
	t.Helper()
	for end := time.Now().Add(within); open() > 0; time.Sleep(sampleInterval) {
		if time.Now().After(end) {
			t.Errorf("%d connections are still open", open())
			return
		}
	}
}

const (
	heapMetric = "/memory/classes/heap/objects:bytes"
	// gcPercent is the GOGC value of the gateway.
	gcPercent      = 50
	sampleInterval = 2 * time.Millisecond
)

// PeakHeap returns by how many bytes the heap grew at most while f ran, garbage included.
func PeakHeap(f func()) int64 {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	runtime.GC()
	before := heapBytes()
	peak := before
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return peak - before
		case <-ticker.C:
			peak = max(peak, heapBytes())
		}
	}
}

func heapBytes() int64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
