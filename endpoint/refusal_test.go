package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// strayCase is the requests of one client to one endpoint, whose answers may come with stray
// copies.
type strayCase struct {
	Name     string
	Requests []strayRequest
	// Connections is the number of connections that carried them.
	Connections int
}

type strayRequest struct {
	// Kind is "once", "repeatable", "report", "health", "memory" or, of a question about memory
	// that follows its first request, "asked".
	Kind string
	// Method is that of a call without a body; empty for a POST with one.
	Method string
	// Answers are written as the request has been read. "close" ends the connection.
	Answers []string
	// Late is written as the next request of the connection has been read, before its answers.
	Late  string
	Code  result.Code
	Proof RefusalProof
	// Fails is set if a probe fails.
	Fails bool
}

const (
	answerTo   = "HTTP/1.1 200 OK\r\nAttempt: ID\r\nSigned: s\r\nContent-Length: 5\r\n\r\nhello"
	otherTo    = "HTTP/1.1 200 OK\r\nAttempt: other\r\nSigned: s\r\nContent-Length: 5\r\n\r\nhello"
	shed       = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	shedWithID = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nAttempt: ID\r\nContent-Length: 0\r\n\r\n"
	misdirect  = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
	report     = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	early      = "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n"
	healthy    = "HTTP/1.1 200 OK\r\nInstance: e-1\r\nContent-Length: 0\r\n\r\n"
	list       = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n" + `{"Epoch":7,"Parts":[1]}`
	events     = "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n" + `{"Epoch":7,"Next":1,"Parts":[5]}`
	noEvents   = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + `{"Epoch":7,"Next":1}`
)

var strayAnswers = map[string]string{
	"answer":       answerTo,
	"other":        otherTo,
	"shed":         shed,
	"shed with id": shedWithID,
	"421":          misdirect,
	"report":       report,
	"103":          early,
	"health":       healthy,
	"list":         list,
	"events":       events,
	"no events":    noEvents,
}

// TestStrayAnswerIsNotTakenForTheAnswer guards against calls that run twice, as a stray answer
// without an id ended an attempt as not run.
func TestStrayAnswerIsNotTakenForTheAnswer(t *testing.T) {
	for _, c := range datatest.Read[[]strayCase](t, "testdata/stray.json") {
		t.Run(c.Name, func(t *testing.T) {
			e := startStrayEndpoint(t, c.Requests)
			client := newRelayClient(t)
			for _, r := range c.Requests {
				r.send(t, client, e.ln.Addr().String())
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			assert.Equal(t, e.connections, c.Connections)
			assert.Equal(t, len(e.requests), 0)
			assert.Equal(t, e.unexpected, 0, "net/http repeated a request")
		})
	}
}

func (r strayRequest) send(t *testing.T, client *Client, addr string) {
	attempt := routedCall(addr, "")
	switch r.Kind {
	case "report":
		_, _, err := client.FetchLoad(t.Context(), attempt.Endpoint)
		assert.Equal(t, err != nil, r.Fails, "%v", err)
		return
	case "health":
		_, _, err := client.FetchColdStart(t.Context(), attempt.Endpoint, "/health")
		assert.Equal(t, err != nil, r.Fails, "%v", err)
		return
	case "memory":
		m, err := client.FetchMemory(t.Context(), attempt.Endpoint, "/health", MemoryCursor{})
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Events, []uint64{5})
		assert.Assert(t, m.Complete)
		return
	case "asked":
		return
	}
	attempt.Call.Idempotent = r.Kind == "repeatable"
	attempt.Call.Header = http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	if r.Method != "" {
		attempt.Call.Method = r.Method
		attempt.Call.Body = nil
	}
	out := client.Send(t.Context(), attempt, Sink{
		Head:  func(int, http.Header) error { return nil },
		Chunk: func([]byte) error { return nil },
	})
	assert.Equal(t, out.Code, r.Code, "%v", out.Err)
	assert.Equal(t, out.RefusalProof, r.Proof)
}

// strayEndpoint answers requests in their order, on any connection.
type strayEndpoint struct {
	ln net.Listener

	mu          sync.Mutex
	requests    []strayRequest
	connections int
	// unexpected is the number of requests beyond the case's.
	unexpected int
}

func startStrayEndpoint(t *testing.T, requests []strayRequest) *strayEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &strayEndpoint{
		ln:       ln,
		requests: requests,
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.connections++
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e
}

// next removes the next expected request; false if there is none.
func (e *strayEndpoint) next() (strayRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.requests) == 0 {
		e.unexpected++
		return strayRequest{}, false
	}
	r := e.requests[0]
	e.requests = e.requests[1:]
	return r, true
}

func (e *strayEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r, ok := e.next()
		if !ok {
			return
		}
		text := strayAnswers[late]
		late = r.Late
		for _, answer := range r.Answers {
			if answer == "close" {
				return
			}
			text += strayAnswers[answer]
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "Attempt: ID", "Attempt: attempt-1"))
	}
}

// TestAnonymousRefusalsAreForgotten guards against endpoints that get new connections for good
// after one refusal, and against a list that only grows.
func TestAnonymousRefusalsAreForgotten(t *testing.T) {
	r := newAnonymousRefusals()
	now := time.Unix(1e9, 0)
	r.add("a", now)
	assert.Assert(t, r.recent("a", now.Add(anonymousRefusalMemory-1)))
	assert.Assert(t, !r.recent("a", now.Add(anonymousRefusalMemory)))
	assert.Assert(t, !r.recent("b", now))
	r.add("b", now.Add(anonymousRefusalMemory))
	assert.Equal(t, len(r.until), 1)
}
