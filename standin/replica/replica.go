// Package replica is a stand-in for the platform's endpoints of routed calls:
// it answers streams and whole bodies, refuses what is for another instance,
// tells its load, and fails on demand. It tells an observer of each run.
package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the published protocol.
const (
	headerAttempt   = "X-Fuchsianotch-Attempt-Id"
	headerSignature = "X-Fuchsianotch-Response-Stamp"
	headerInstance  = "X-Fuchsianotch-Expect-Instance"
	headerNotRun    = "X-Fuchsianotch-Not-Executed"
	headerLastEvent = "Last-Event-Id"
	headerCold      = "X-Fuchsianotch-Cold-Ms"
	headerSelf      = "X-Fuchsianotch-Instance-Id"
	headerWorkspace = "X-Fuchsianotch-Tenant"
	headerLimit     = "Server-Limit"
)

// StreamPath begins the paths that are answered by a stream.
const StreamPath = "/stream/"

// Fault is how a replica fails one request.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultError runs and answers 500; FaultReset runs and resets the connection;
	// FaultCut breaks off within the answer; FaultShed refuses before it runs;
	// FaultUnsigned answers without a signature; FaultExtra sends a second answer.
	FaultError
	FaultReset
	FaultCut
	FaultShed
	FaultUnsigned
	FaultExtra
	// Faults is the number of faults.
	Faults
)

// Run is one request that a replica began to work on, or refused.
type Run struct {
	Replica string
	Attempt string
	Path    string
	From    string
	At      time.Time
	Refused bool
	// Zone is the replica's, Workspace the one that the request names, and HasKey says
	// that it bears a caller's key.
	Zone      string
	Workspace string
	HasKey    bool
}

// Options set up a Replica.
type Options struct {
	ID      string
	Service string
	Zone    string
	// Events is how many events a stream has, EventEvery the time between two,
	// and Work the time of a whole answer.
	Events     int
	EventEvery time.Duration
	Work       time.Duration
	// Fault decides how a request fails; nil means not at all.
	Fault func() Fault
	// Observe is told of each request, and Asked of each question for its load or health;
	// nil means nobody is.
	Observe func(Run)
	Asked   func(id string)
	// Crashes says which requests crash the replica that begins to run them; nil means
	// none. Crashed is told of it once.
	Crashes func(path string) bool
	Crashed func(*Replica)
}

// Replica is one running stand-in.
type Replica struct {
	Options
	Addr string
	// Born is when it started, in milliseconds since the epoch.
	Born int64

	server    *http.Server
	crashOnce sync.Once
	mu        sync.Mutex
	active    int
	// written counts its entries.
	written int
	// coldUntil is what its health check tells.
	coldUntil time.Time
	// limit is what its answers name, empty for none.
	limit string
}

// Start serves on an address.
func Start(o Options, addr string) (*Replica, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		Options: o,
		Addr:    ln.Addr().String(),
		Born:    time.Now().UnixMilli(),
	}
	r.server = &http.Server{
		Handler:           http.HandlerFunc(r.serve),
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = r.server.Serve(ln) }()
	return r, nil
}

// Crash ends it at once, with all its connections.
func (r *Replica) Crash() {
	_ = r.server.Close()
}

// Entry is what it writes to the store.
func (r *Replica) Entry(state string, coldFor time.Duration) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written++
	return map[string]any{
		"Seq":        r.written,
		"born":       r.Born,
		"Service":    r.Service,
		"Addr":       r.Addr,
		"Zone":       r.Zone,
		"Version":    "v1",
		"Slots":      64,
		"State":      state,
		"ColdLeftMs": coldFor.Milliseconds(),
	}
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	r.nameLimit(w)
	if r.Asked != nil && (req.URL.Path == "/report" || req.URL.Path == "/health") {
		r.Asked(r.ID)
	}
	if req.URL.Path == "/report" {
		r.report(w)
		return
	}
	if req.URL.Path == "/health" {
		r.health(w)
		return
	}
	id := req.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if expected := req.Header.Get(headerInstance); expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := FaultNone
	if r.Fault != nil {
		fault = r.Fault()
	}
	run := Run{
		Replica: r.ID,
		Attempt: id,
		Path:    req.URL.Path,
		From:    req.RemoteAddr,
		At:      time.Now(),
		Refused: fault == FaultShed,

		Zone:      r.Zone,
		Workspace: req.Header.Get(headerWorkspace),
		HasKey:    req.Header.Get("Authorization") != "",
	}
	r.Observe(run)
	if fault == FaultShed {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Crashes != nil && r.Crashes(req.URL.Path) {
		wait(req.Context(), crashAfter)
		r.crashUnder()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.enter(1)
	defer r.enter(-1)
	if fault != FaultUnsigned {
		w.Header().Set(headerSignature, "stamp."+r.ID+"."+id)
	}
	r.answer(w, req, id, fault)
}

// crashAfter is the time from the beginning of a run to the crash under it.
const crashAfter = 50 * time.Millisecond

// crashUnder ends the replica under a request.
func (r *Replica) crashUnder() {
	r.crashOnce.Do(func() {
		r.Crash()
		r.Crashed(r)
	})
}

func (r *Replica) enter(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active += n
}

func (r *Replica) answer(w http.ResponseWriter, req *http.Request, id string, fault Fault) {
	if len(req.URL.Path) >= len(StreamPath) && req.URL.Path[:len(StreamPath)] == StreamPath {
		r.stream(w, req, id, fault)
		return
	}
	wait(req.Context(), r.Work)
	body := Body(id)
	switch fault {
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultCut:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
	case FaultExtra:
		_ = extra(w, id)
		return
	}
	_, _ = io.WriteString(w, body)
}

// Body is the answer to an attempt.
func Body(id string) string {
	return "answer to " + id
}

// Event is one event of the answer to an attempt.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", number, id, number)
}

// extra answers, and sends a second answer that belongs to nobody.
func extra(w http.ResponseWriter, id string) error {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return errors.ErrUnsupported
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return err
	}
	body := Body(id)
	stale := Body("nobody")
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: %d\r\n\r\n%s"+
		"HTTP/1.1 200 OK\r\n%s: nobody\r\n%s: stamp\r\nContent-Length: %d\r\n\r\n%s",
		headerAttempt, id, headerSignature, len(body), body,
		headerAttempt, headerSignature, len(stale), stale)
	time.AfterFunc(time.Second, func() { _ = conn.Close() })
	return err
}

// stream goes on after the event that the caller has.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, id string, fault Fault) {
	from := 0
	if last := req.Header.Get(headerLastEvent); last != "" {
		from, _ = strconv.Atoi(last)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if fault == FaultError {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	flush := http.NewResponseController(w).Flush
	for number := from + 1; number <= r.Events; number++ {
		if req.Context().Err() != nil {
			return
		}
		event := Event(id, number)
		if (fault == FaultCut || fault == FaultReset) && number > r.Events/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = flush()
		wait(req.Context(), r.EventEvery)
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
