package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Response headers.
const (
	HeaderResult  = "Fuchsianotch-Result"
	HeaderClass   = "Fuchsianotch-Class"
	HeaderRequest = "Fuchsianotch-Request"
	HeaderVM      = "Fuchsianotch-Vm"
)

// Entry is one VM that a caller may use.
type Entry struct {
	VM         string `json:"vm"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
}

// ErrorResponse is the body of every response whose class is not done.
type ErrorResponse struct {
	Error Error `json:"error"`
}

// Error describes a failure and how the caller can proceed.
type Error struct {
	Code    result.Code  `json:"code"`
	Name    string       `json:"name"`
	Class   result.Class `json:"class"`
	Message string       `json:"message"`
	// RetryAt is the earliest time at which a retry may succeed.
	RetryAt time.Time `json:"come_back_at,omitzero"`
	// SuggestedVMs are the entry VMs to use, in order of preference.
	SuggestedVMs []Entry `json:"use,omitempty"`
	// Ticket is set if the call needs a ticket and had none.
	Ticket string `json:"ticket,omitempty"`
}

func newEntries(vms []fleet.VM) []Entry {
	out := make([]Entry, 0, len(vms))
	for _, vm := range vms {
		out = append(out, Entry{
			VM:         vm.ID,
			Region:     vm.Region,
			DataCentre: vm.DataCentre,
			Addr:       vm.CallerAddr,
		})
	}
	return out
}

func (s *Server) setIdentity(q *request) {
	q.w.Header().Set(HeaderRequest, q.id)
	q.w.Header().Set(HeaderVM, s.options.VM)
}

// refuse writes an error response. An unread body is discarded without
// reading unless placement allowed this VM to read it.
func (s *Server) refuse(q *request, r *result.Refusal) {
	r = reportUnknownOutcome(q, r)
	body := ErrorResponse{
		Error: s.newError(q, r),
	}
	setResult(q.w.Header(), r.Code)
	s.setRetryAfter(q.w.Header(), r)
	info, _ := result.Lookup(r.Code)
	unread := q.r.ContentLength != 0 && !q.bodyRead
	if unread && !q.bodyAllowed && s.rejectWithoutReading(q, info.HTTPStatus, body) {
		return
	}
	if unread {
		q.w.Header().Set("Connection", "close")
	}
	writeJSON(q.w, info.HTTPStatus, body)
}

func (s *Server) newError(q *request, r *result.Refusal) Error {
	e := Error{
		Code:    r.Code,
		Name:    r.Code.String(),
		Class:   r.Code.Class(),
		Message: r.Message,
		RetryAt: r.RetryAt,
	}
	if q.contract == nil {
		return e
	}
	switch r.Code {
	case result.WrongVM, result.WrongRegion, result.Stopping, result.LimitNoShare, result.PeerUnreachable, result.PeerLost, result.ExecutorGone, result.NotReady:
		e.SuggestedVMs = newEntries(s.entriesFor(q.contract, s.options.View()))
	case result.TicketRequired:
		e.Ticket = s.options.IssueTicket(q.contract.Workspace, s.options.Now().Add(s.options.Limits.TicketTTL))
	}
	return e
}

func (s *Server) setRetryAfter(h http.Header, r *result.Refusal) {
	if r.RetryAt.IsZero() {
		return
	}
	wait := r.RetryAt.Sub(s.options.Now())
	seconds := int64((wait + time.Second - 1) / time.Second)
	h.Set("Retry-After", strconv.FormatInt(max(seconds, 0), 10))
}

func setResult(h http.Header, code result.Code) {
	h.Set(HeaderResult, strconv.Itoa(int(code)))
	h.Set(HeaderClass, string(code.Class()))
}

func writeJSON[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// responseWriter writes an endpoint's response to the caller. A stream is
// written as it arrives; any other response is buffered until it is complete.
type responseWriter struct {
	server  *Server
	request *request
	call    *call.Call
	status  int
	header  http.Header
	body    []byte
	// headWritten is set once the status and the headers were written.
	headWritten bool
	control     *http.ResponseController
}

func (s *Server) newResponseWriter(q *request, c *call.Call) *responseWriter {
	return &responseWriter{
		server:  s,
		request: q,
		call:    c,
		control: http.NewResponseController(q.w),
	}
}

func (w *responseWriter) sink() call.Sink {
	return call.Sink{
		Head:  w.receiveHead,
		Chunk: w.receiveChunk,
	}
}

func (w *responseWriter) receiveHead(status int, header http.Header) error {
	if w.headWritten {
		return nil
	}
	w.status = status
	w.header = header
	if w.call.Stream {
		w.writeHead(result.Done)
	}
	return nil
}

func (w *responseWriter) writeHead(code result.Code) {
	h := w.request.w.Header()
	for name, values := range w.header {
		h[name] = values
	}
	setResult(h, code)
	w.request.w.WriteHeader(w.status)
	w.headWritten = true
}

func (w *responseWriter) receiveChunk(data []byte) error {
	if !w.call.Stream {
		w.body = append(w.body, data...)
		return nil
	}
	return w.write(data)
}

func (w *responseWriter) write(data []byte) error {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.server.options.Limits.WriteTimeout))
	if _, err := w.request.w.Write(data); err != nil {
		return err
	}
	return w.control.Flush()
}

// finish completes the response according to the outcome. A stream that fails
// midway ends with an error event, so that the caller can tell it is incomplete.
func (w *responseWriter) finish(o call.Outcome) {
	if o.Code.Class() == result.ClassDone {
		w.finishDone(o)
		return
	}
	if w.headWritten {
		w.finishInterrupted(o)
		return
	}
	w.server.refuse(w.request, o.Refusal)
}

func (w *responseWriter) finishDone(o call.Outcome) {
	if w.headWritten {
		return
	}
	if w.status == 0 {
		w.status = http.StatusOK
	}
	w.writeHead(o.Code)
	_ = w.write(w.body)
}

func (w *responseWriter) finishInterrupted(o call.Outcome) {
	body := ErrorResponse{
		Error: w.server.newError(w.request, o.Refusal),
	}
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	event := append([]byte("event: error\ndata: "), text...)
	_ = w.write(append(event, "\n\n"...))
}
