package endpoint

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// errPartialEvent marks a stream that ended in the middle of an event.
var errPartialEvent = errors.New("stream ended within an event")

// hopByHopHeaders are never forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// handleRoutedResponse verifies the response to a routed call and forwards it unchanged.
func (x *exchange) handleRoutedResponse(resp *http.Response) *result.Refusal {
	head := x.client.dialect.ReadResponseHead(resp.StatusCode, resp.Header, x.client.now())
	x.outcome.ClosesConnection = head.ClosesConnection
	if head.ID != "" && head.ID != x.attempt.ID {
		x.conn.taint()
		return result.Refuse(result.AnswerCrossed, "the answer has the id of another attempt")
	}
	// Refusals may lack the attempt's id.
	if !head.InstanceMismatch && (head.NotRun || head.Signed && head.ID != "") {
		x.reportNotice(resp)
	}
	if head.NotRun {
		x.outcome.RetryAt = head.RetryAt
		x.outcome.InstanceMismatch = head.InstanceMismatch
		return result.Refuse(result.EndpointRefused, "the endpoint refused with status %d", resp.StatusCode)
	}
	if !head.Signed || head.ID == "" {
		return result.Refuse(result.EndpointFailed, "the answer with status %d is not signed", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusOK && isEventStream(resp.Header) {
		return x.relayStream(resp)
	}
	return x.relayBody(resp)
}

// reportNotice passes the notice in a verified response to Attempt.OnNotice.
func (x *exchange) reportNotice(resp *http.Response) {
	if x.attempt.OnNotice != nil {
		x.attempt.OnNotice(x.client.readNotice(resp.StatusCode, resp.Header))
	}
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == eventStream
}

// relayBody reads the whole response before forwarding it. A server error is kept
// in the outcome instead, since another endpoint may succeed.
func (x *exchange) relayBody(resp *http.Response) *result.Refusal {
	if x.attempt.ResumeAfter != "" {
		return result.Refuse(result.EndpointFailed, "the endpoint did not resume the stream")
	}
	body, _ := buffers.Get().(*bytes.Buffer)
	defer releaseBuffer(body)
	if refusal := x.readAll(resp, body); refusal != nil {
		return refusal
	}
	if refusal := x.confirmEnd(); refusal != nil {
		return refusal
	}
	header := endToEndHeader(resp.Header)
	if x.attempt.Call.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(body.Len()))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.outcome.ErrorResponse = &call.BufferedResponse{
			Status: resp.StatusCode,
			Header: header,
			Body:   bytes.Clone(body.Bytes()),
			Free:   x.room.Release,
		}
		return result.Refuse(result.EndpointFailed, "the endpoint answered status %d", resp.StatusCode)
	}
	if refusal := x.forwardHead(resp.StatusCode, header); refusal != nil {
		return refusal
	}
	if body.Len() == 0 {
		return nil
	}
	return x.forwardChunk(body.Bytes())
}

// endToEndHeader copies the headers without the hop-by-hop ones.
func endToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// relayStream forwards complete events as they arrive, so that another endpoint
// can always continue after the last one.
func (x *exchange) relayStream(resp *http.Response) *result.Refusal {
	reader, _ := rawEventReaders.Get().(*rawEventReader)
	reader.reader.Reset(resp.Body)
	defer reader.release()
	var lastAt time.Time
	for {
		event, err := reader.next(x.client.maxResponseBytes, &x.room)
		if errors.Is(err, io.EOF) {
			return x.finishRelay(resp)
		}
		if err != nil {
			return x.readRefusal(err)
		}
		if x.callerHasEvent(event.id) {
			continue
		}
		if refusal := x.forwardHead(resp.StatusCode, endToEndHeader(resp.Header)); refusal != nil {
			return refusal
		}
		if refusal := x.forwardChunk(event.data); refusal != nil {
			return refusal
		}
		x.outcome.Delivered++
		x.outcome.LastEvent = event.id
		lastAt = x.reportEventGap(lastAt)
	}
}

// reportEventGap passes the time since the previous event to Attempt.OnEventGap and
// returns the current time.
func (x *exchange) reportEventGap(lastAt time.Time) time.Time {
	now := x.client.now()
	if x.attempt.OnEventGap != nil && !lastAt.IsZero() {
		x.attempt.OnEventGap(now.Sub(lastAt), x.attempt.Call.Routed.TokensPerEvent, x.outcome.OpenAt)
	}
	return now
}

// finishRelay completes a stream that ended on an event boundary.
func (x *exchange) finishRelay(resp *http.Response) *result.Refusal {
	if refusal := x.confirmEnd(); refusal != nil {
		return refusal
	}
	if x.outcome.Framing == FramingConnection && x.outcome.Delivered == 0 && x.resumeAfter() == "" {
		return result.Refuse(result.EndpointCut, "the stream ended before its first event")
	}
	x.outcome.Usage.PromptTokens = x.attempt.Call.PromptTokens
	x.outcome.Usage.GeneratedTokens = x.outcome.Delivered * x.attempt.Call.Routed.TokensPerEvent
	return x.forwardHead(resp.StatusCode, endToEndHeader(resp.Header))
}

// callerHasEvent reports whether the caller already received an event, which
// happens if an endpoint resumes too early.
func (x *exchange) callerHasEvent(id string) bool {
	have, err := strconv.ParseUint(x.resumeAfter(), 10, 64)
	if err != nil {
		return false
	}
	got, err := strconv.ParseUint(id, 10, 64)
	return err == nil && got <= have
}

// resumeAfter returns the id of the last event that the caller received before this
// attempt; empty for none.
func (x *exchange) resumeAfter() string {
	return cmp.Or(x.attempt.ResumeAfter, x.attempt.Call.Routed.ResumeAfter)
}

// rawEvent is one complete event with its lines unchanged.
type rawEvent struct {
	data []byte
	id   string
}

// rawEventReader splits a body into events without changing any byte.
type rawEventReader struct {
	reader *bufio.Reader
	data   []byte
}

var rawEventReaders = sync.Pool{
	New: func() any {
		return &rawEventReader{reader: bufio.NewReaderSize(nil, readBufferBytes)}
	},
}

func (r *rawEventReader) release() {
	r.reader.Reset(nil)
	if cap(r.data) <= maxPooledBytes {
		rawEventReaders.Put(r)
	}
}

// next returns the next event, which is valid until the following call. The end of
// the body is io.EOF between two events and errPartialEvent within one.
func (r *rawEventReader) next(maxBytes int, room *bounded.Share) (rawEvent, error) {
	r.data = r.data[:0]
	id := ""
	start := 0
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(r.data)+len(part) > maxBytes {
			return rawEvent{}, errEventTooLarge
		}
		if err := room.Reserve(len(r.data)+len(part), maxBytes); err != nil {
			return rawEvent{}, err
		}
		r.data = append(r.data, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return rawEvent{}, r.readError(err)
		}
		line := bytes.TrimRight(r.data[start:], "\r\n")
		start = len(r.data)
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(line) == 0 {
			return rawEvent{
				data: r.data,
				id:   id,
			}, nil
		}
	}
}

func (r *rawEventReader) readError(err error) error {
	if errors.Is(err, io.EOF) && len(r.data) > 0 {
		return errPartialEvent
	}
	return err
}

// LastEventID returns the id of the last event in a chunk of a relayed stream, or
// an empty string if there is none.
func LastEventID(piece []byte) string {
	id := ""
	for line := range bytes.Lines(piece) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
