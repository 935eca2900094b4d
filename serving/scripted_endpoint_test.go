package serving

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var errKilled = errors.New("the process was killed")

// scriptedEndpoint is a fake for all endpoints of a cluster. Each request gets the next
// scripted answer, and the last one is repeated. A request counts as a run unless the
// answer refuses it before running.
type scriptedEndpoint struct {
	t       *testing.T
	answers []string

	mu       sync.Mutex
	requests int
	runs     int
	group    sync.WaitGroup
	holds    map[string]chan struct{}
	// reached holds a channel for each point, closed when a request reaches it.
	reached map[string]chan struct{}
}

func newScriptedEndpoint(t *testing.T, answers []string) *scriptedEndpoint {
	return &scriptedEndpoint{
		t:       t,
		answers: answers,
		holds:   make(map[string]chan struct{}),
		reached: make(map[string]chan struct{}),
	}
}

// hold makes the next request that reaches the point wait there.
func (f *scriptedEndpoint) hold(point string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds[point] = make(chan struct{})
	f.reached[point] = make(chan struct{})
}

// release resumes the requests at the point and removes the hold.
func (f *scriptedEndpoint) release(point string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held, ok := f.holds[point]; ok {
		close(held)
		delete(f.holds, point)
	}
}

func (f *scriptedEndpoint) releaseAll() {
	for _, point := range []string{pointDial, pointWrite, pointAnswer} {
		f.release(point)
	}
}

// Points at which a request can be held.
const (
	// pointDial is before the ticket is marked as used.
	pointDial = "dial"
	// pointWrite is after the ticket was marked as used, before the first byte.
	pointWrite = "write"
	// pointAnswer is after the run, before the response.
	pointAnswer = "answer"
)

// waitIfHeld blocks the first request at a held point; later ones pass.
func (f *scriptedEndpoint) waitIfHeld(point string) {
	f.mu.Lock()
	held, arrived := f.holds[point], f.reached[point]
	delete(f.reached, point)
	f.mu.Unlock()
	if held == nil || arrived == nil {
		return
	}
	close(arrived)
	<-held
}

// waitUntilReached waits until a request reaches the point.
func (f *scriptedEndpoint) waitUntilReached(point string) {
	f.mu.Lock()
	arrived := f.reached[point]
	f.mu.Unlock()
	if arrived != nil {
		<-arrived
	}
}

func (f *scriptedEndpoint) dial(p *process) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		f.waitIfHeld(pointDial)
		if p.killed.Load() {
			return nil, errKilled
		}
		near, far := net.Pipe()
		f.group.Go(func() { f.serve(far) })
		return &heldConn{
			Conn:     near,
			endpoint: f,
			process:  p,
		}, nil
	}
}

// heldConn can hold a request's first byte. It fails writes once the process is killed.
type heldConn struct {
	net.Conn
	endpoint *scriptedEndpoint
	process  *process
}

// Write writes unless the process was killed.
func (c *heldConn) Write(b []byte) (int, error) {
	c.endpoint.waitIfHeld(pointWrite)
	if c.process.killed.Load() {
		return 0, errKilled
	}
	return c.Conn.Write(b)
}

func (f *scriptedEndpoint) nextAnswer() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := f.answers[min(f.requests, len(f.answers)-1)]
	f.requests++
	return answer
}

func (f *scriptedEndpoint) countRun() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
}

func (f *scriptedEndpoint) runCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs
}

func (f *scriptedEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !f.answer(conn, r, f.nextAnswer()) {
			return
		}
	}
}

// answer sends one scripted answer and reports whether the connection stays open.
func (f *scriptedEndpoint) answer(conn net.Conn, r *http.Request, step string) bool {
	name, arg, _ := strings.Cut(step, " ")
	id := r.Header.Get("X-Request-Id")
	if name == "refuse" {
		return f.write(conn, head("503", id, "X-Run: none", "Content-Length: 0"))
	}
	f.countRun()
	f.waitIfHeld(pointAnswer)
	const body = `{"run":1}`
	length := "Content-Length: " + strconv.Itoa(len(body))
	switch name {
	case "done":
		return f.write(conn, head("200", id, length)+body)
	case "late":
		d, err := time.ParseDuration(arg)
		if err != nil {
			f.t.Error(err)
		}
		time.Sleep(d)
		return f.write(conn, head("200", id, length)+body)
	case "refuse_after_run":
		return f.write(conn, head("503", id, "Content-Length: 0"))
	case "cross":
		return f.write(conn, head("200", "another", length)+body)
	case "cut":
		f.write(conn, head("200", id, length)+body[:3])
		return false
	case "reset":
		return false
	case "stream", "stream_cut":
		f.stream(conn, r, arg)
		if name == "stream" {
			f.write(conn, event(id, `"delta":{},"finish_reason":"stop"`)+"data: [DONE]\n\n")
		}
		return false
	default:
		f.t.Errorf("unknown answer %q", step)
		return false
	}
}

// stream sends tokens up to the number in arg, starting where the request resumes.
func (f *scriptedEndpoint) stream(conn net.Conn, r *http.Request, arg string) {
	until, err := strconv.Atoi(arg)
	if err != nil {
		f.t.Error(err)
	}
	id := r.Header.Get("X-Request-Id")
	lines := []string{"Content-Type: text/event-stream"}
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	if from > 0 {
		lines = append(lines, "X-Resumed-From: "+strconv.Itoa(from))
	}
	f.write(conn, head("200", id, lines...))
	for i := from; i < until; i++ {
		f.write(conn, event(id, fmt.Sprintf(`"delta":{"content":"%d "},"finish_reason":null`, i)))
	}
}

func event(id, choice string) string {
	return `data: {"id":"chatcmpl-` + id + `","choices":[{"index":0,` + choice + `}]}` + "\n\n"
}

func (f *scriptedEndpoint) write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

func head(status, id string, lines ...string) string {
	return "HTTP/1.1 " + status + " X\r\nX-Request-Id: " + id + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}
