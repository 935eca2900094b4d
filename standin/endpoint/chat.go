package endpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// ownChunksBeforeCross is the number of correct chunks in a stream that the
// Cross fault mixes up late.
const ownChunksBeforeCross = 3

// response writes the response to one chat completion request.
type response struct {
	endpoint *Endpoint
	job      *job
	w        http.ResponseWriter
	r        *http.Request
	flush    func() error
	// sent counts tokens, including those before a resumed start; chunks counts
	// stream chunks.
	sent   int
	chunks int
	buffer []byte
}

func (e *Endpoint) serveChat(w http.ResponseWriter, r *http.Request) {
	e.faults.WaitWhileFrozen()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.bodies.Add(body)
	f := e.faults.Get()
	w.Header().Set(fault.HeaderRequestID, r.Header.Get(fault.HeaderRequestID))
	e.setLoadHeaders(w.Header(), f)
	if f.Refuse {
		w.Header().Set("X-Run", "none")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var p chatRequest
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
	a := &response{
		endpoint: e,
		job:      j,
		w:        w,
		r:        r,
		flush:    http.NewResponseController(w).Flush,
		sent:     j.resumedFrom,
	}
	if p.Stream && !f.RefuseAfterRun {
		a.writeStream()
		return
	}
	a.writeWhole()
}

// waitForTokens blocks until unsent tokens exist and returns the number of tokens
// produced. It aborts the handler when the client disconnects.
func (a *response) waitForTokens() int {
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

// prepareHeader waits for the first token, applies the faults that precede the
// response header, and sets the header fields.
func (a *response) prepareHeader(contentType string) {
	select {
	case <-a.job.ready:
	case <-a.r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if a.sent < a.job.total {
		a.waitForTokens()
	}
	a.waitWhileFrozen()
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
		header.Set("X-Resumed-From", strconv.Itoa(a.job.resumedFrom))
	}
	if f.Cross && !a.crossesLate() {
		id, _ := a.endpoint.engine.otherJob(a.job)
		header.Set(fault.HeaderRequestID, id)
	}
}

// crossesLate reports whether a crossed stream starts with its own chunks, which
// half of the request IDs select.
func (a *response) crossesLate() bool {
	last := a.job.id[max(len(a.job.id)-1, 0):]
	return last != "" && last[0]%2 == 0
}

func (a *response) waitWhileFrozen() {
	a.endpoint.faults.WaitWhileFrozen()
}

// contentSource returns the request ID and marker for the next chunk.
func (a *response) contentSource(f fault.Faults) (id, marker string) {
	if f.Cross && (a.chunks >= ownChunksBeforeCross || !a.crossesLate()) {
		return a.endpoint.engine.otherJob(a.job)
	}
	return a.job.id, a.job.marker
}

func (a *response) writeStream() {
	a.prepareHeader("text/event-stream")
	a.writeChunk(func(b []byte, _ string) []byte { return appendRoleDelta(b) })
	for a.sent < a.job.total {
		for produced := a.waitForTokens(); a.sent < produced; a.sent++ {
			a.writeChunk(func(b []byte, marker string) []byte { return appendTokenDelta(b, marker, a.sent) })
		}
		_ = a.flush()
	}
	a.writeChunk(func(b []byte, _ string) []byte { return appendFinishReason(b) })
	a.writeChunk(func(b []byte, _ string) []byte { return appendUsageChunk(b, a.job) })
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
}

// writeChunk sends one chunk. appendRest adds what follows the envelope.
func (a *response) writeChunk(appendRest func(b []byte, marker string) []byte) {
	a.waitWhileFrozen()
	f := a.endpoint.faults.Get()
	time.Sleep(f.Slow.Duration)
	if f.CutAfter > 0 && a.chunks >= f.CutAfter {
		_ = a.flush()
		panic(http.ErrAbortHandler)
	}
	id, marker := a.contentSource(f)
	a.buffer = append(a.buffer[:0], "data: "...)
	a.buffer = appendEnvelopeStart(a.buffer, id, "chat.completion.chunk", a.endpoint.options.Model)
	a.buffer = appendRest(a.buffer, marker)
	a.buffer = append(a.buffer, "}\n\n"...)
	a.chunks++
	if _, err := a.w.Write(a.buffer); err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.Slow.Duration > 0 {
		_ = a.flush()
	}
}

// writeWhole writes a response that is not streamed, with its Content-Length.
func (a *response) writeWhole() {
	for a.sent < a.job.total {
		a.sent = a.waitForTokens()
	}
	f := a.endpoint.faults.Get()
	if f.RefuseAfterRun {
		a.w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.prepareHeader("application/json")
	a.chunks = ownChunksBeforeCross
	id, marker := a.contentSource(f)
	b := appendEnvelopeStart(nil, id, "chat.completion", a.endpoint.options.Model)
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
