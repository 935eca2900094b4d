package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

type relayCase struct {
	Name   string
	Answer string
	// End is what the endpoint does after its response: "close", "reset", "crash",
	// which also ends its listener, or nothing.
	End           string
	Resume        string
	CallerResume  string `json:"caller_resume"`
	Stream        bool
	Resumable     bool
	Code          result.Code
	Status        int
	Body          string
	Header        map[string]string
	Events        int
	LastEvent     string `json:"last_event"`
	HeldEvents    int    `json:"held_events"`
	OtherInstance bool   `json:"other_instance"`
	Idempotent    bool
	Held          int
	// Error is set if the endpoint answered with a failure that is not held.
	Error bool
	// Rated is the expected Named field of the reported rate limit, or "none" if
	// none is reported; not checked if empty.
	Rated string
}

// testDialect uses its own header names, so that a name hard-coded in the client
// fails the tests.
var testDialect = Dialect{
	SetRequestHeader: func(h http.Header, t RequestParams) {
		h.Set("Instance", t.Instance)
		if t.ResumeAfter != "" {
			h.Set("Resume", t.ResumeAfter)
		}
	},
	ReadResponseHead: func(status int, h http.Header, _ time.Time) ResponseHead {
		return ResponseHead{
			ID:               h.Get("Attempt"),
			NotRun:           h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
			InstanceMismatch: status == http.StatusMisdirectedRequest,
			ImpliesNotRun:    status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests,
			Signed:           h.Get("Signed") != "",
		}
	},
	ReadColdFor:      func(http.Header) time.Duration { return 0 },
	ReadInstance:     func(h http.Header) string { return h.Get("Instance") },
	MemoryListPath:   "/list",
	MemoryEventsPath: func(since uint64) string { return "/events/" + strconv.FormatUint(since, 10) },
	DecodeMemory: func(data []byte) (page MemoryPage, err error) {
		err = json.Unmarshal(data, &page)
		return page, err
	},
	ReadNotice: func(_ int, h http.Header, _ time.Time) Notice {
		return Notice{
			Rate: fleet.Rate{
				Named: h.Get("Rate") != "",
			},
		}
	},
}

func TestRelay(t *testing.T) {
	for _, c := range datatest.Read[[]relayCase](t, "testdata/relay.json") {
		t.Run(c.Name, func(t *testing.T) {
			answer := strings.ReplaceAll(c.Answer, "Attempt: ID", "Attempt: attempt-1")
			addr := serveRaw(t, answer, c.End)
			status, body := 0, ""
			header := http.Header{}
			rated := "none"
			attempt := routedCall(addr, c.Resume)
			attempt.Call.Idempotent = c.Idempotent
			attempt.Call.Stream = c.Stream
			attempt.Call.Routed.Resumable = c.Resumable
			attempt.Call.Routed.ResumeAfter = c.CallerResume
			attempt.OnNotice = func(n Notice) { rated = strconv.FormatBool(n.Rate.Named) }
			out := newRelayClient(t).Send(t.Context(), attempt, Sink{
				Head: func(s int, h http.Header) error {
					status = s
					header = h.Clone()
					return nil
				},
				Chunk: func(data []byte) error {
					body += string(data)
					return nil
				},
			})
			assert.Equal(t, out.Code, c.Code, "%v", out.Err)
			if c.Rated != "" {
				assert.Equal(t, rated, c.Rated)
			}
			assert.Equal(t, status, c.Status)
			assert.Equal(t, body, c.Body)
			assert.Equal(t, out.Delivered, c.Events)
			assert.Equal(t, out.LastEvent, c.LastEvent)
			assert.Equal(t, out.HeldEvents, c.HeldEvents)
			assert.Equal(t, out.InstanceMismatch, c.OtherInstance)
			for name, value := range c.Header {
				assert.Equal(t, header.Get(name), value)
			}
			assert.Equal(t, out.ErrorResponse != nil, c.Held > 0)
			assert.Equal(t, out.AnsweredError, c.Held > 0 || c.Error)
			if c.Held > 0 {
				assert.Equal(t, out.ErrorResponse.Status, c.Held)
			}
		})
	}
}

func newRelayClient(t *testing.T) *Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return New(Options{
		Client:  &http.Client{Transport: transport},
		Dialect: testDialect,
	})
}

func routedCall(addr, resume string) Attempt {
	return Attempt{
		ID: "attempt-1",
		Endpoint: fleet.Endpoint{
			ID:   "e-1",
			Addr: addr,
		},
		Call: &call.Call{
			ID:       "attempt-1",
			Kind:     call.KindRouted,
			Method:   http.MethodPost,
			Path:     "/a%2Fb/?q=%20x",
			Body:     []byte("body"),
			Deadline: time.Now().Add(time.Minute),
			Routed: &call.Routed{
				Host: "h.example",
			},
		},
		ResumeAfter: resume,
	}
}

// serveRaw responds to one request with raw bytes and returns the listen address.
func serveRaw(t *testing.T, answer, end string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body := make([]byte, req.ContentLength)
		_, _ = req.Body.Read(body)
		_, _ = conn.Write([]byte(answer))
		if end == "crash" {
			_ = ln.Close()
			end = "close"
		}
		finish(conn, end)
	}()
	return ln.Addr().String()
}

func finish(conn net.Conn, end string) {
	switch end {
	case "close":
		_ = conn.Close()
	case "reset":
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Let the response arrive first: a reset discards unread data.
			time.Sleep(50 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// TestRoutedRequest checks that a request reaches the endpoint as the caller sent
// it, plus the headers of the dialect.
func TestRoutedRequest(t *testing.T) {
	got := make(chan string, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		data := make([]byte, 4096)
		n, _ := conn.Read(data)
		got <- string(data[:n])
		_ = conn.Close()
	}()
	a := routedCall(ln.Addr().String(), "7")
	a.Call.Header = http.Header{"X-Kept": {"1"}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	newRelayClient(t).Send(ctx, a, Sink{})
	text := <-got
	for _, want := range []string{"POST /a%2Fb/?q=%20x HTTP/1.1\r\n", "Host: h.example\r\n", "X-Kept: 1\r\n", "Instance: e-1\r\n", "Resume: 7\r\n", "Content-Length: 4\r\n"} {
		assert.Assert(t, strings.Contains(text, want), "%q lacks %q", text, want)
	}
	assert.Assert(t, !strings.Contains(text, "User-Agent"), text)
}
