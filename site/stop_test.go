package site

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// stopCall is a request on a connection that is open before the VM is told to stop. Times are
// in milliseconds, from the start of the stop where they are points in time; those of calls that
// are in flight by then are negative.
type stopCall struct {
	Path string
	// At is when the request is sent, Runs how long its endpoint takes, Deadline how long its
	// caller waits.
	At, Runs, Deadline int
	// BodyAt is when the second half of the body is sent; zero sends it at once.
	BodyAt int
	// Bytes is the length of a large answer, of which the caller reads the head at ReadAt, after it
	// has sent its next request.
	Bytes, ReadAt int
	// Forwarded sends the call from another VM.
	Forwarded bool
	// Want is the status of the answer; zero means that the connection ends without one.
	Want int
}

// TestStopAnswersEveryCall guards against a stopping VM that begins calls which it cuts off, and
// against one that closes connections with requests on them.
func TestStopAnswersEveryCall(t *testing.T) {
	for _, row := range datatest.Read[[]struct {
		Name string
		// Before are the durations of calls that ended before the stop.
		Before []int
		// Left are the times after which callers of longer calls left before the stop.
		Left  []int
		Calls []stopCall
	}](t, "testdata/stop.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			s := startStopping(t)
			for _, runs := range row.Before {
				conn := s.dial(t)
				assert.Equal(t, s.send(conn, stopCall{Path: "/once/", Runs: runs, Deadline: 9000}), http.StatusOK)
			}
			for _, after := range row.Left {
				conn := s.dial(t)
				time.AfterFunc(time.Duration(after)*time.Millisecond, func() { _ = conn.Close() })
				assert.Equal(t, s.send(conn, stopCall{Path: "/once/", Runs: 9000, Deadline: 9000}), 0)
				waitFor(t, func() bool { return s.node.serving.InFlight() == 0 })
			}
			var calls sync.WaitGroup
			got := make([]int, len(row.Calls))
			conns := make([]net.Conn, len(row.Calls))
			for i := range row.Calls {
				conns[i] = s.dial(t)
			}
			startedAt := time.Now().Add(callsBeforeStop)
			for i, c := range row.Calls {
				calls.Go(func() {
					time.Sleep(time.Until(startedAt.Add(time.Duration(c.At) * time.Millisecond)))
					if c.Forwarded {
						got[i] = s.forward(c)
						return
					}
					got[i] = s.send(conns[i], c)
				})
			}
			time.Sleep(time.Until(startedAt))
			s.stop()
			calls.Wait()
			for i, c := range row.Calls {
				assert.Check(t, got[i] == c.Want, "call %d: %+v got %d", i, c, got[i])
			}
			assert.NilError(t, <-s.ended)
		})
	}
}

// TestStopLogsCutCalls guards against a line that tells of calls that were cut off as only the
// answer to a caller that has gone was not acknowledged.
func TestStopLogsCutCalls(t *testing.T) {
	for _, row := range []struct {
		name        string
		call        stopCall
		cut         bool
		undelivered int
	}{
		{name: "a caller that reads no more", call: stopCall{Path: "/repeat/", Runs: 20, Deadline: 9000, Bytes: 64 << 10, ReadAt: 10000}, undelivered: 1},
		{name: "a call in flight", call: stopCall{Path: "/repeat/", Runs: 5000, Deadline: 9000}, cut: true},
		{name: "a body that is incomplete", call: stopCall{Path: "/repeat/", Runs: 20, Deadline: 9000, BodyAt: 5000}, cut: true},
		{name: "a call that ends", call: stopCall{Path: "/repeat/", Runs: 1200, Deadline: 9000}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			log := newLineLog()
			s := startStoppingWithLog(t, slog.New(slog.NewJSONHandler(log, nil)))
			conn := s.dial(t)
			go func() { s.send(conn, row.call) }()
			time.Sleep(callsBeforeStop)
			s.stop()
			assert.NilError(t, <-s.ended)
			stopped := struct {
				Cut         bool `json:"cut"`
				Undelivered int  `json:"undelivered"`
			}{}
			assert.NilError(t, json.Unmarshal(log.find("stopped"), &stopped))
			assert.Equal(t, stopped.Cut, row.cut)
			assert.Equal(t, stopped.Undelivered, row.undelivered)
			assert.Equal(t, log.find("calls_cut_off") != nil, row.cut)
		})
	}
}

// stoppingVM is a VM with a real caller port and one endpoint.
type stoppingVM struct {
	node  *Node
	addr  string
	stop  context.CancelFunc
	ended chan error
}

// callsBeforeStop is how long before the stop the first calls may be sent.
const callsBeforeStop = 200 * time.Millisecond

// stopGrace is the time from the start of the stop to the end of the process.
const stopGrace = 2 * time.Second

func startStopping(t *testing.T) *stoppingVM {
	t.Helper()
	return startStoppingWithLog(t, slog.New(slog.DiscardHandler))
}

func startStoppingWithLog(t *testing.T, logger *slog.Logger) *stoppingVM {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Fuchsianotch-Attempt-Id", r.Header.Get("X-Fuchsianotch-Attempt-Id"))
		w.Header().Set("X-Fuchsianotch-Response-Stamp", "stamp")
		_, _ = io.Copy(io.Discard, r.Body)
		ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
		if large, _ := strconv.Atoi(r.URL.Query().Get("bytes")); large > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(large))
			_, _ = w.Write(make([]byte, large))
			return
		}
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(server.Close)
	store := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(store.Close)
	n := New(Options{
		Deployment: &platform.Deployment{
			VM:            "vm-0",
			Region:        "r0",
			DataCentre:    "r0-a",
			IP:            "127.0.0.1",
			Regions:       map[string]string{"r0-a": "r0"},
			StoreURL:      store.URL,
			CallerAddr:    "127.0.0.1:0",
			ReadyAddr:     "127.0.0.1:0",
			PeerAddr:      "127.0.0.1:0",
			DirectoryAddr: "127.0.0.1:0",
			Bounds: platform.Bounds{
				StopTimeout: stopGrace,
			},
		},
		Logger:   logger,
		Settings: &settings.Platform{},
	})
	n.control.applyItems([]discovery.Item{
		{
			Key:      "op/config",
			Revision: 1,
			Value: []byte(`{"Version":1,"Services":[{"Name":"s"}],"Routes":[
				{"Name":"once","Host":"h","PathPrefix":"/once/","Kind":"non_idempotent","Service":"s","TimeoutMs":9000},
				{"Name":"repeat","Host":"h","PathPrefix":"/repeat/","Kind":"idempotent","Service":"s","TimeoutMs":9000}]}`),
		},
		{
			Key:      "servers/i-0",
			Revision: 2,
			Value:    fmt.Appendf(nil, `{"Service":"s","Addr":%q,"Zone":"r0-a","Version":"v1","Slots":64,"State":"ready","Seq":1}`, strings.TrimPrefix(server.URL, "http://")),
		},
	}, false, n.now())
	n.control.publish(n.now())
	ctx, cancel := context.WithCancel(context.Background())
	s := &stoppingVM{
		node:  n,
		stop:  cancel,
		ended: make(chan error, 1),
	}
	t.Cleanup(cancel)
	go func() { s.ended <- n.Run(ctx) }()
	waitFor(t, func() bool { return n.callerListener.Load() != nil })
	s.addr = n.callerListener.Load().Addr().String()
	return s
}

func (s *stoppingVM) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send sends a request and returns the status of its whole answer, or zero.
func (s *stoppingVM) send(conn net.Conn, c stopCall) int {
	body := strings.Repeat("b", 64)
	head := fmt.Sprintf("POST %sx?ms=%d&bytes=%d HTTP/1.1\r\nHost: h\r\nX-Fuchsianotch-Attempt-Id: a\r\nX-Fuchsianotch-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		c.Path, c.Runs, c.Bytes, c.Deadline, len(body))
	if c.Bytes > 0 {
		// The kernel of the caller holds a part of the answer only.
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	if _, err := io.WriteString(conn, head+body[:len(body)/2]); err != nil {
		return 0
	}
	if c.BodyAt > 0 {
		time.Sleep(time.Duration(c.BodyAt-c.At) * time.Millisecond)
	}
	// A failure shows in the answer.
	_, _ = io.WriteString(conn, body[len(body)/2:])
	if c.Bytes > 0 {
		time.Sleep(time.Duration(c.ReadAt-c.At) * time.Millisecond)
		_, _ = io.WriteString(conn, head+body)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// forward sends a call as another VM does, and returns the status that its caller gets.
func (s *stoppingVM) forward(c stopCall) int {
	status := http.StatusOK
	outcome := s.node.serveForwarded(context.Background(), s.node.identity(), &call.Call{
		ID:         "a",
		Kind:       call.KindRouted,
		Service:    "s",
		Method:     http.MethodPost,
		Path:       fmt.Sprintf("%sx?ms=%d", c.Path, c.Runs),
		Header:     http.Header{"X-Fuchsianotch-Attempt-Id": {"a"}},
		Forwarded:  true,
		Idempotent: c.Path == "/repeat/",
		Deadline:   s.node.now().Add(time.Duration(c.Deadline) * time.Millisecond),
		Routed: &call.Routed{
			Host:        "h",
			Route:       strings.Trim(c.Path, "/"),
			Version:     1,
			MaxAttempts: 1,
		},
	}, call.Sink{
		Head:  func(got int, _ http.Header) error { status = got; return nil },
		Chunk: func([]byte) error { return nil },
	})
	if info, _ := result.Lookup(outcome.Code); info.HTTPStatus > 0 {
		return info.HTTPStatus
	}
	return status
}
