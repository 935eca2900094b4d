// Package replica is a fake endpoint for routed calls. It serves streams and
// whole responses, rejects requests meant for another instance, reports its load
// and health, fails on demand, and reports each request to an observer.
package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the protocol between gateway and replica.
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
	headerLeaving   = "Server-Leaving"
	headerRetry     = "Retry-After"
	headerPrompt    = "X-Fuchsianotch-Prompt-Prefix"
	headerTokens    = "X-Fuchsianotch-Token-Count"
	headerPriority  = "X-Fuchsianotch-Request-Priority"
)

// StreamPath is the prefix of paths that respond with an event stream.
const StreamPath = "/stream/"

// ResumablePath is the prefix of those whose streams can be resumed.
const ResumablePath = StreamPath + "resume/"

// Fault is the way in which a replica fails a request.
type Fault int

// Faults that a replica can inject.
const (
	// FaultNone serves the request.
	FaultNone Fault = iota
	// FaultError runs the request and responds with 500.
	FaultError
	// FaultReset runs the request and closes the connection.
	FaultReset
	// FaultCut truncates the response.
	FaultCut
	// FaultShed rejects the request before it runs.
	FaultShed
	// FaultUnsigned omits the signature.
	FaultUnsigned
	// FaultExtra sends a second response on the same connection.
	FaultExtra
	// FaultShedTwice is FaultShed with a second copy of the refusal, which is sent as the next
	// request of the connection arrives.
	FaultShedTwice
	// FaultSpoil spoils the id of an event of a stream that can be resumed, and closes the
	// connection.
	FaultSpoil
	// FaultCount is the number of values of Fault.
	FaultCount
)

// CrashPoint is how far a replica gets with a request before it crashes.
type CrashPoint int

// The crash points, in order.
const (
	// CrashNever serves the request.
	CrashNever CrashPoint = iota
	// CrashUnread leaves the request's body unread, so that the connection is reset.
	CrashUnread
	CrashBeforeHead
	CrashAfterHead
	CrashWithinEvent
	CrashAfterEvent
	// CrashAfterAnswer serves the request and crashes a moment later.
	CrashAfterAnswer
)

// Run is a request that a replica started to run, or rejected if Refused is set.
type Run struct {
	Replica string
	Attempt string
	Path    string
	// Target is the path and query as the request has them.
	Target  string
	From    string
	At      time.Time
	Refused bool
	// RestFor is the time named in the Retry-After header of a refusal; zero for none.
	RestFor time.Duration
	// Zone is the replica's zone.
	Zone string
	// Workspace is the workspace that the request names.
	Workspace string
	// HasKey is set if the request carries a caller's API key.
	HasKey bool
	// Harmful is set if the request's prompt has the harmful part.
	Harmful bool
}

// Options configure a Replica.
type Options struct {
	ID      string
	Service string
	Zone    string
	// Version is the version of the replica's software, which its events carry.
	Version string
	// Events is the number of events in a stream, EventEvery the interval between
	// them.
	Events     int
	EventEvery time.Duration
	// ProcessingTime is the processing time of a request that is not streamed; its query may
	// add milliseconds.
	ProcessingTime time.Duration
	// Fault chooses the fault for each request; nil means FaultNone.
	Fault func() Fault
	// OnRequest is called for each request that runs or is shed. It must not be nil.
	OnRequest func(Run)
	// OnEnd is called as the work on a request ends; nil disables it.
	OnEnd func(attempt string, at time.Time)
	// OnProbe is called for each load report and health probe; nil disables it.
	OnProbe func(id string)
	// CrashOn returns how far the replica gets with a request before it crashes; nil means
	// that none crashes it. OnCrash is called once, after the crash.
	CrashOn func(*http.Request) CrashPoint
	OnCrash func(*Replica)
	// HarmfulPart is the id of a part of prompts whose runs are marked as Harmful.
	HarmfulPart string
	// EndsWithConnection reports whether the response to a request has neither a length nor
	// chunks; nil means that none does.
	EndsWithConnection func(*http.Request) bool
	// Endless is the answer to all requests; nil means answers that end.
	Endless *EndlessAnswer
}

// Replica is a running fake endpoint.
type Replica struct {
	Options
	Addr string
	// StartedAtMillis is the start time in Unix milliseconds, which identifies the incarnation.
	StartedAtMillis int64

	server    *http.Server
	crashOnce sync.Once
	mu        sync.Mutex
	// runs hold the replica's slots, in the order of their starts.
	runs []*activeRun
	// entrySeq is the sequence number of the last entry for the store.
	entrySeq int
	// coldUntil is when the replica becomes warm, as health probes report it.
	coldUntil time.Time
	// limit is the request rate that responses announce; empty for none.
	limit string
	// leaving is set once the replica leaves, restFor while it refuses all requests.
	leaving bool
	restFor time.Duration
}

// Start starts a replica that listens on addr.
func Start(o Options, addr string) (*Replica, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		Options:         o,
		Addr:            ln.Addr().String(),
		StartedAtMillis: time.Now().UnixMilli(),
	}
	r.server = &http.Server{
		Handler:           http.HandlerFunc(r.serve),
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext:       withConn,
	}
	go func() { _ = r.server.Serve(ln) }()
	return r, nil
}

// Crash stops the replica immediately and closes all its connections.
func (r *Replica) Crash() {
	_ = r.server.Close()
}

// NextEntry returns the replica's next entry for the store.
func (r *Replica) NextEntry(state string, coldFor time.Duration) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entrySeq++
	return map[string]any{
		"Seq":        r.entrySeq,
		"born":       r.StartedAtMillis,
		"Service":    r.Service,
		"Addr":       r.Addr,
		"Zone":       r.Zone,
		"Version":    r.Version,
		"Slots":      64,
		"State":      state,
		"ColdLeftMs": coldFor.Milliseconds(),
	}
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	sendLate(req)
	r.setNoticeHeaders(w)
	isProbe := req.URL.Path == "/report" || req.URL.Path == "/health"
	if isProbe && r.OnProbe != nil {
		r.OnProbe(r.ID)
	}
	if isProbe && r.Endless != nil && r.Endless.Probes {
		r.sendEndless(w, "", *r.Endless)
		return
	}
	if req.URL.Path == "/report" {
		r.serveReport(w)
		return
	}
	if req.URL.Path == "/health" {
		r.serveHealth(w)
		return
	}
	id := req.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if expected := req.Header.Get(headerInstance); expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault, restFor := r.nextFault()
	run := Run{
		Replica: r.ID,
		Attempt: id,
		Path:    req.URL.Path,
		Target:  req.RequestURI,
		From:    req.RemoteAddr,
		At:      time.Now(),
		Refused: fault == FaultShed || fault == FaultShedTwice,
		RestFor: restFor,

		Zone:      r.Zone,
		Workspace: req.Header.Get(headerWorkspace),
		HasKey:    req.Header.Get("Authorization") != "",
		Harmful:   r.HarmfulPart != "" && strings.Contains(req.Header.Get(headerPrompt), r.HarmfulPart+":"),
	}
	r.OnRequest(run)
	if run.Refused {
		if fault == FaultShedTwice {
			refuseTwice(req)
		}
		refuse(w, restFor)
		return
	}
	point := CrashNever
	if r.CrashOn != nil {
		point = r.CrashOn(req)
	}
	if point == CrashUnread {
		r.crashDuring(req)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	active := r.startRun(req, id)
	defer r.endRun(active)
	if r.Endless != nil {
		r.sendEndless(w, id, *r.Endless)
		return
	}
	if fault != FaultUnsigned {
		w.Header().Set(headerSignature, "stamp."+r.ID+"."+id)
	}
	if r.EndsWithConnection != nil && r.EndsWithConnection(req) {
		// net/http then frames the body by the end of the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if point == CrashAfterAnswer {
		time.AfterFunc(r.answerTime()+crashDelay, r.crashOnRequest)
	} else if point != CrashNever {
		r.beginAnswer(w, id, point)
		r.crashDuring(req)
	}
	r.answer(w, req, active, fault)
}

// nextFault returns the fault for the next request, and the rest that a refusal names.
func (r *Replica) nextFault() (Fault, time.Duration) {
	r.mu.Lock()
	restFor := r.restFor
	r.mu.Unlock()
	if restFor > 0 {
		return FaultShed, restFor
	}
	if r.Fault == nil {
		return FaultNone, 0
	}
	fault := r.Fault()
	if fault == FaultShed && rand.IntN(2) == 0 {
		return fault, shedRest
	}
	return fault, 0
}

// shedRest is the rest that a random refusal names.
const shedRest = time.Second

// refuse rejects a request before it runs, without its attempt id, which refusals may lack.
// restFor is the rest that it names; zero for none.
func refuse(w http.ResponseWriter, restFor time.Duration) {
	w.Header().Del(headerAttempt)
	w.Header().Set(headerNotRun, "1")
	if restFor > 0 {
		w.Header().Set(headerRetry, strconv.FormatFloat(restFor.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// crashDelay is the time from the start of a run to the crash that it causes.
const crashDelay = 50 * time.Millisecond

// answerTime is about how long the answer to a stream takes.
func (r *Replica) answerTime() time.Duration {
	return time.Duration(r.Events) * r.EventEvery
}

// beginAnswer writes the part of a stream that precedes a crash.
func (r *Replica) beginAnswer(w http.ResponseWriter, id string, point CrashPoint) {
	if point == CrashBeforeHead {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	event := Event(id, 1, r.Version)
	switch point {
	case CrashWithinEvent:
		_, _ = io.WriteString(w, event[:len(event)/2])
	case CrashAfterEvent:
		_, _ = io.WriteString(w, event)
	}
	_ = http.NewResponseController(w).Flush()
}

// crashDuring crashes the replica while it runs a request.
func (r *Replica) crashDuring(req *http.Request) {
	sleep(req.Context(), crashDelay)
	r.crashOnRequest()
	panic(http.ErrAbortHandler)
}

// crashOnRequest crashes the replica once.
func (r *Replica) crashOnRequest() {
	r.crashOnce.Do(func() {
		r.Crash()
		r.OnCrash(r)
	})
}

func (r *Replica) answer(w http.ResponseWriter, req *http.Request, run *activeRun, fault Fault) {
	if len(req.URL.Path) >= len(StreamPath) && req.URL.Path[:len(StreamPath)] == StreamPath {
		r.stream(w, req, run, fault)
		return
	}
	id := run.id
	ms, _ := strconv.Atoi(req.URL.Query().Get("ms"))
	sleep(req.Context(), r.ProcessingTime+time.Duration(ms)*time.Millisecond)
	padding, _ := strconv.Atoi(req.URL.Query().Get("bytes"))
	body := Body(id) + strings.Repeat(".", padding)
	switch fault {
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultCut:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
	case FaultExtra:
		_ = writeExtraResponse(w, id)
		return
	}
	_, _ = io.WriteString(w, body)
}

// Body returns the response body for an attempt.
func Body(id string) string {
	return "answer to " + id
}

// Event returns one server-sent event of the stream for an attempt.
func Event(id string, number int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s.%d %s\n\n", number, id, number, version)
}

// spoiledIDs stand in place of the id of an event.
var spoiledIDs = []string{"", "id:\n", "id: 1\n", "id: 977\n", "id: 99999999999999999999\n", "\x96\x9b\xc5 7\n"}

// spoilID replaces the id of an event, or ends the event behind it.
func spoilID(event string) string {
	id, rest, _ := strings.Cut(event, "\n")
	spoiled := append(slices.Clip(spoiledIDs), id+"\n\n")
	return spoiled[rand.IntN(len(spoiled))] + rest
}

// writeExtraResponse writes the response, and after it one that belongs to no
// request.
func writeExtraResponse(w http.ResponseWriter, id string) error {
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

// stream writes the events after the one that Last-Event-Id names.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, run *activeRun, fault Fault) {
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
	ms, _ := strconv.Atoi(req.URL.Query().Get("ms"))
	eventEvery := r.EventEvery + time.Duration(ms)*time.Millisecond/time.Duration(r.Events)
	for number := from + 1; number <= r.Events; number++ {
		if req.Context().Err() != nil {
			return
		}
		event := Event(run.id, number, r.Version)
		if (fault == FaultCut || fault == FaultReset) && number > r.Events/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		if fault == FaultSpoil && number > r.Events/2 && strings.HasPrefix(req.URL.Path, ResumablePath) {
			_, _ = io.WriteString(w, spoilID(event))
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		r.countEvent(run)
		_, _ = io.WriteString(w, event)
		_ = flush()
		sleep(req.Context(), eventEvery)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
