package endpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// crossAfter is the chunk from which every second crossed stream is another's.
const crossAfter = 3

// answer is one request being answered.
type answer struct {
	endpoint *Endpoint
	job      *job
	w        http.ResponseWriter
	r        *http.Request
	flush    func() error
	// sent counts tokens, with those before the job's start; chunks all chunks.
	sent   int
	chunks int
	buffer []byte
}

func (e *Endpoint) chat(w http.ResponseWriter, r *http.Request) {
	e.faults.Thaw()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.seen.Add(body)
	f := e.faults.Get()
	w.Header().Set(fault.HeaderRequestID, r.Header.Get(fault.HeaderRequestID))
	e.setLoadHeaders(w.Header(), f)
	if f.Refuse {
		w.Header().Set("X-Run", "none")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		http.Error(w, `{"error":{"message":"the request is malformed"}}`, http.StatusBadRequest)
		return
	}
	j := newJob(r.Header, p, e.options.Resumes)
	defer func() {
		if !e.faults.Get().IgnoreCancel {
			j.cancelled.Store(true)
		}
	}()
	e.engine.submit(j)
	a := &answer{
		endpoint: e,
		job:      j,
		w:        w,
		r:        r,
		flush:    http.NewResponseController(w).Flush,
		sent:     j.from,
	}
	if p.Stream && !f.RefuseAfterRun {
		a.stream()
		return
	}
	a.whole()
}

// wait returns when more tokens are there than were sent, with their number.
// A gone client ends the handler.
func (a *answer) wait() int {
	for {
		produced := int(a.job.produced.Load())
		if produced > a.sent && !a.endpoint.faults.Get().Silent {
			return produced
		}
		select {
		case <-a.job.wake:
		case <-a.r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// head waits for the first token and for faults before the head.
func (a *answer) head(contentType string) {
	select {
	case <-a.job.ready:
	case <-a.r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if a.sent < a.job.total {
		a.wait()
	}
	a.pause()
	f := a.endpoint.faults.Get()
	if f.Silent {
		<-a.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.Late.Duration)
	if f.CutAfter < 0 {
		panic(http.ErrAbortHandler)
	}
	header := a.w.Header()
	a.endpoint.setLoadHeaders(header, f)
	header.Set("Content-Type", contentType)
	if a.endpoint.options.Resumes && a.r.Header.Get("X-Resume-From") != "" {
		header.Set("X-Resumed-From", strconv.Itoa(a.job.from))
	}
	if f.Cross && !a.crossesLate() {
		id, _ := a.endpoint.engine.other(a.job)
		header.Set(fault.HeaderRequestID, id)
	}
}

// crossesLate picks the crossed streams that begin as their own.
func (a *answer) crossesLate() bool {
	last := a.job.id[max(len(a.job.id)-1, 0):]
	return last != "" && last[0]%2 == 0
}

func (a *answer) pause() {
	a.endpoint.faults.Thaw()
}

// owner gives whose id and content the next chunk shows.
func (a *answer) owner(f fault.Faults) (id, marker string) {
	if f.Cross && (a.chunks >= crossAfter || !a.crossesLate()) {
		return a.endpoint.engine.other(a.job)
	}
	return a.job.id, a.job.marker
}

func (a *answer) stream() {
	a.head("text/event-stream")
	a.write(func(b []byte, _ string) []byte { return appendRole(b) })
	for a.sent < a.job.total {
		for produced := a.wait(); a.sent < produced; a.sent++ {
			a.write(func(b []byte, marker string) []byte { return appendToken(b, marker, a.sent) })
		}
		_ = a.flush()
	}
	a.write(func(b []byte, _ string) []byte { return appendFinish(b) })
	a.write(func(b []byte, _ string) []byte { return appendUsage(b, a.job) })
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
}

// write sends one chunk, whose rest is appended after its id.
func (a *answer) write(rest func(b []byte, marker string) []byte) {
	a.pause()
	f := a.endpoint.faults.Get()
	time.Sleep(f.Slow.Duration)
	if f.CutAfter > 0 && a.chunks >= f.CutAfter {
		_ = a.flush()
		panic(http.ErrAbortHandler)
	}
	id, marker := a.owner(f)
	a.buffer = append(a.buffer[:0], "data: "...)
	a.buffer = appendOpening(a.buffer, id, "chat.completion.chunk", a.endpoint.options.Model)
	a.buffer = rest(a.buffer, marker)
	a.buffer = append(a.buffer, "}\n\n"...)
	a.chunks++
	if _, err := a.w.Write(a.buffer); err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.Slow.Duration > 0 {
		_ = a.flush()
	}
}

// whole answers in one piece with its length.
func (a *answer) whole() {
	for a.sent < a.job.total {
		a.sent = a.wait()
	}
	f := a.endpoint.faults.Get()
	if f.RefuseAfterRun {
		a.w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.head("application/json")
	a.chunks = crossAfter
	id, marker := a.owner(f)
	b := appendOpening(nil, id, "chat.completion", a.endpoint.options.Model)
	b = appendMessage(b, marker, a.job)
	b = append(b, '}')
	a.w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	time.Sleep(f.Slow.Duration)
	if f.CutAfter > 0 {
		_, _ = a.w.Write(b[:len(b)/2])
		_ = a.flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write(b)
}
