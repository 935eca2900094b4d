package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// endRow is a case of testdata/ends.json: what happens while the caller takes the event of a
// stream that ends with its connection.
type endRow struct {
	Name string
	// Crash ends the endpoint, Restart starts another one at its address.
	Crash   bool
	Restart bool
	// Pause pauses the VM while it waits for the end.
	Pause bool
	// StallSeconds is how long the caller takes for the event.
	StallSeconds float64 `json:"stall_seconds"`
	// Kept is set if the client has another connection to the endpoint.
	Kept bool
	// Lives is set if the endpoint's entry tells its life, TellsLife if its load reports do so too.
	// NewEntry is set if the entry of the next life is known when the end is read.
	Lives     bool
	TellsLife bool `json:"tells_life"`
	NewEntry  bool `json:"new_entry"`
	Code      result.Code
}

// vmPause is how long the VM is paused.
const vmPause = 3 * time.Second

// TestEndOfStream guards against a stream that passes for whole as its endpoint has crashed and
// another one listens at its address by the time its end is read.
func TestEndOfStream(t *testing.T) {
	for _, row := range datatest.Read[[]endRow](t, "testdata/ends.json") {
		t.Run(row.Name, row.run)
	}
}

func (row endRow) run(t *testing.T) {
	life := 0
	if row.Lives || row.TellsLife {
		life = 1
	}
	e := newStreamEndpointAt(t, "127.0.0.1:0", life)
	var elapsed time.Duration
	started, delivered := time.Now(), false
	client := New(Options{
		Client:  &http.Client{Transport: &http.Transport{}},
		Dialect: reportingDialect(),
		Life: func(fleet.Endpoint) (int64, bool) {
			if row.NewEntry {
				return int64(life) + 1, row.TellsLife
			}
			return int64(life), row.TellsLife
		},
		Now: func() time.Time { return started.Add(elapsed) },
		Paused: func() bool {
			paused := row.Pause && delivered
			if paused {
				elapsed = vmPause
			}
			return paused
		},
	})
	if row.Kept {
		conn, err := client.pooled.(*http.Transport).DialContext(t.Context(), "tcp", e.addr)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		elapsed += time.Millisecond
	}
	attempt := routedCall(e.addr, "")
	attempt.Call.Deadline = started.Add(time.Minute)
	attempt.Endpoint.Incarnation = int64(life)
	out := client.Send(t.Context(), attempt, Sink{
		Head: func(int, http.Header) error { return nil },
		Chunk: func([]byte) error {
			e.end(row.Crash)
			if row.Restart {
				newStreamEndpointAt(t, e.addr, 2*life)
			}
			delivered = true
			elapsed += time.Duration(row.StallSeconds * float64(time.Second))
			return nil
		},
	})
	assert.Equal(t, out.Code, row.Code, "%v", out.Err)
	assert.Assert(t, row.TellsLife || e.reports.Load() == 0, "an endpoint without load reports is asked for one")
}

// reportingDialect is testDialect with load reports that tell an endpoint's life.
func reportingDialect() Dialect {
	d := testDialect
	d.ReportPath = reportPath
	d.DecodeReport = func(data []byte, _ time.Time) (load Load, err error) {
		load.Incarnation, err = strconv.ParseInt(string(data), 10, 64)
		return load, err
	}
	return d
}

// streamEndpoint answers every request with one event of a stream without a length or chunks, and
// questions for its load with its life.
type streamEndpoint struct {
	addr string
	ln   net.Listener
	life int

	reports atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
	// answering is the connection of the last answer.
	answering net.Conn
}

func newStreamEndpointAt(t *testing.T, addr string, life int) *streamEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	e := &streamEndpoint{
		addr: ln.Addr().String(),
		ln:   ln,
		life: life,
	}
	go e.serve()
	return e
}

func (e *streamEndpoint) serve() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go e.answer(conn)
	}
}

func (e *streamEndpoint) answer(conn net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = req.Body.Read(make([]byte, 1024))
	if req.URL.Path == reportPath {
		e.reports.Add(1)
		life := strconv.Itoa(e.life)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(life))+"\r\n\r\n"+life)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answering = conn
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSigned: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n"))
}

// end ends the answer, and with a crash the listener and all connections.
func (e *streamEndpoint) end(crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !crash {
		_ = e.answering.Close()
		return
	}
	_ = e.ln.Close()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}
