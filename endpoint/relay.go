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
	"github.com/fuchsianotch/fuchsianotch/result"
)

// errPartialEvent marks a stream that ended in the middle of an event.
var errPartialEvent = errors.New("the stream ended within an event")

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// receiveRouted judges the answer to a routed call and passes it on unchanged.
func (x *exchange) receiveRouted(resp *http.Response) *result.Refusal {
	head := x.client.dialect.ReadHead(resp.StatusCode, resp.Header, x.client.now())
	x.outcome.Leaving = head.Leaving
	if head.ID != "" && head.ID != x.attempt.ID {
		x.track.distrust()
		return result.Refuse(result.AnswerCrossed, "the answer has the id of another attempt")
	}
	if head.ID != "" && !head.OtherInstance && (head.Signed || head.NotRun) {
		x.rated(resp.Header)
	}
	if head.NotRun {
		x.outcome.ComeBackAt = head.ComeBackAt
		x.outcome.OtherInstance = head.OtherInstance
		return result.Refuse(result.EndpointRefused, "the endpoint refused with status %d", resp.StatusCode)
	}
	if !head.Signed || head.ID == "" {
		return result.Refuse(result.EndpointFailed, "the answer with status %d is not signed", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusOK && isEventStream(resp.Header) {
		return x.relayStream(resp)
	}
	return x.relayWhole(resp)
}

// rated tells what an own answer says of the endpoint's rate.
func (x *exchange) rated(h http.Header) {
	if x.attempt.Rated != nil && x.client.dialect.ReadRate != nil {
		x.attempt.Rated(x.client.dialect.ReadRate(h))
	}
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == eventStream
}

// relayWhole reads an answer to its end before any of it is passed on. An own
// failure of the endpoint is held in the outcome: another endpoint may do better.
func (x *exchange) relayWhole(resp *http.Response) *result.Refusal {
	if x.attempt.ResumeAfter != "" {
		return result.Refuse(result.EndpointFailed, "the endpoint did not resume the stream")
	}
	body, _ := buffers.Get().(*bytes.Buffer)
	defer putBuffer(body)
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, int64(x.client.maxAnswer)+1)); err != nil {
		return x.lost(err)
	}
	if body.Len() > x.client.maxAnswer {
		return x.tooLarge()
	}
	header := endToEnd(resp.Header)
	if x.attempt.Call.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(body.Len()))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.outcome.Held = &call.Answer{
			Status: resp.StatusCode,
			Header: header,
			Body:   bytes.Clone(body.Bytes()),
		}
		return result.Refuse(result.EndpointFailed, "the endpoint answered status %d", resp.StatusCode)
	}
	if refusal := x.passHead(resp.StatusCode, header); refusal != nil {
		return refusal
	}
	if body.Len() == 0 {
		return nil
	}
	return x.passChunk(body.Bytes())
}

// endToEnd copies the headers that are not of one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// relayStream passes events on as they come, whole ones only: what the caller
// has is then always a number of whole events, after which another endpoint
// can go on.
func (x *exchange) relayStream(resp *http.Response) *result.Refusal {
	reader, _ := eventRelays.Get().(*eventRelay)
	reader.reader.Reset(resp.Body)
	defer reader.release()
	var lastAt time.Time
	for {
		event, err := reader.next(x.client.maxAnswer)
		if errors.Is(err, io.EOF) {
			return x.endRelay(resp)
		}
		if err != nil {
			return x.lost(err)
		}
		if x.hasEvent(event.id) {
			continue
		}
		if refusal := x.passHead(resp.StatusCode, endToEnd(resp.Header)); refusal != nil {
			return refusal
		}
		if refusal := x.passChunk(event.data); refusal != nil {
			return refusal
		}
		x.outcome.Delivered++
		x.outcome.LastEvent = event.id
		lastAt = x.paced(lastAt)
	}
}

// paced tells how long the stream took for one event, and gives the time of this one.
func (x *exchange) paced(lastAt time.Time) time.Time {
	now := x.client.now()
	if x.attempt.Paced != nil && !lastAt.IsZero() {
		x.attempt.Paced(now.Sub(lastAt), x.attempt.Call.Routed.EventTokens)
	}
	return now
}

// endRelay ends a stream that ended between two events.
func (x *exchange) endRelay(resp *http.Response) *result.Refusal {
	x.outcome.Usage.PromptTokens = x.attempt.Call.PromptTokens
	x.outcome.Usage.GeneratedTokens = x.outcome.Delivered * x.attempt.Call.Routed.EventTokens
	return x.passHead(resp.StatusCode, endToEnd(resp.Header))
}

// hasEvent reports whether the caller has an event already, which guards against
// an endpoint that resumes too early.
func (x *exchange) hasEvent(id string) bool {
	resumeAfter := cmp.Or(x.attempt.ResumeAfter, x.attempt.Call.Routed.ResumeAfter)
	have, err := strconv.ParseUint(resumeAfter, 10, 64)
	if err != nil {
		return false
	}
	got, err := strconv.ParseUint(id, 10, 64)
	return err == nil && got <= have
}

// relayEvent is one whole event with its lines as they came.
type relayEvent struct {
	data []byte
	id   string
}

// eventRelay cuts a body into events without changing a byte.
type eventRelay struct {
	reader *bufio.Reader
	data   []byte
}

var eventRelays = sync.Pool{
	New: func() any {
		return &eventRelay{reader: bufio.NewReaderSize(nil, readerBytes)}
	},
}

func (r *eventRelay) release() {
	r.reader.Reset(nil)
	if cap(r.data) <= keptBytes {
		eventRelays.Put(r)
	}
}

// next returns the next event, valid until the next call. The body's end is
// io.EOF between two events and errPartialEvent within one.
func (r *eventRelay) next(maxBytes int) (relayEvent, error) {
	r.data = r.data[:0]
	id := ""
	start := 0
	for {
		part, err := r.reader.ReadSlice('\n')
		r.data = append(r.data, part...)
		if len(r.data) > maxBytes {
			return relayEvent{}, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return relayEvent{}, r.ended(err)
		}
		line := bytes.TrimRight(r.data[start:], "\r\n")
		start = len(r.data)
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(line) == 0 {
			return relayEvent{
				data: r.data,
				id:   id,
			}, nil
		}
	}
}

func (r *eventRelay) ended(err error) error {
	if errors.Is(err, io.EOF) && len(r.data) > 0 {
		return errPartialEvent
	}
	return err
}

// LastEventID returns the id of the last event in a piece of a relayed stream,
// empty where it holds none.
func LastEventID(piece []byte) string {
	id := ""
	for line := range bytes.Lines(piece) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
