package endpoint

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

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
	if resp.StatusCode < http.StatusOK {
		x.conn.discard()
		return result.Refuse(result.EndpointFailed, "the endpoint answered status %d", resp.StatusCode)
	}
	head := x.client.dialect.ReadResponseHead(resp.StatusCode, resp.Header, x.client.now())
	x.outcome.ClosesConnection = head.ClosesConnection
	if head.ID != "" && head.ID != x.attempt.ID {
		x.conn.discard()
		return result.Refuse(result.AnswerCrossed, "the answer has the id of another attempt")
	}
	// Refusals may lack the attempt's id.
	if !head.InstanceMismatch && (head.NotRun || head.Signed && head.ID != "") {
		x.reportNotice(resp)
	}
	if head.NotRun {
		return x.handleRefusal(resp, head)
	}
	if !head.Signed || head.ID == "" {
		x.conn.discard()
		return result.Refuse(result.EndpointFailed, "the answer with status %d is not signed", resp.StatusCode)
	}
	if head.ImpliesNotRun && !x.attempt.Call.Idempotent {
		x.outcome.AnsweredError = true
		return result.Refuse(result.EndpointFailed, "the endpoint answered status %d and may have run the request", resp.StatusCode)
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
	callerResumes := x.attempt.Call.Stream && x.resumeAfter() != ""
	if x.attempt.ResumeAfter != "" || callerResumes && resp.StatusCode < http.StatusMultipleChoices {
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
	if x.outcome.Framing == FramingConnection && body.Len() == 0 && resp.StatusCode < http.StatusMultipleChoices {
		return result.Refuse(result.EndpointCut, "the connection ended before the body")
	}
	header := endToEndHeader(resp.Header)
	if x.attempt.Call.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(body.Len()))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.outcome.AnsweredError = true
		x.outcome.ErrorResponse = &call.BufferedResponse{
			Status: resp.StatusCode,
			Header: header,
			Body:   body.Bytes(),
			Free:   x.room.Release,
		}
		// The response keeps the buffer.
		*body = bytes.Buffer{}
		return result.Refuse(result.EndpointFailed, "the endpoint answered status %d", resp.StatusCode)
	}
	x.recordBegin()
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

// streamHeader copies the headers of a stream, whose length changes if another endpoint resumes it.
func streamHeader(h http.Header) http.Header {
	out := endToEndHeader(h)
	out.Del("Content-Length")
	return out
}

// relayStream forwards complete events as they arrive, so that another endpoint
// can always continue after the last one. Events with ids that can't be of this stream are
// not forwarded, and those with doubtful ids are once the next event has confirmed them.
func (x *exchange) relayStream(resp *http.Response) *result.Refusal {
	reader, _ := rawEventReaders.Get().(*rawEventReader)
	reader.reader.Reset(resp.Body)
	defer reader.release()
	filter := newBlockFilter(x.attempt.Call, x.resumeAfter())
	defer func() { x.outcome.HeldEvents = filter.order.heldEvents }()
	var lastAt time.Time
	for {
		event, err := reader.next(x.client.maxResponseBytes, len(filter.held.data), &x.room)
		if errors.Is(err, io.EOF) {
			return x.finishRelay(resp, filter)
		}
		if err != nil {
			return x.readRefusal(err)
		}
		ready, refusal := filter.add(event)
		if refusal != nil {
			return refusal
		}
		for _, blocks := range ready {
			if refusal := x.forwardBlocks(resp, blocks); refusal != nil {
				return refusal
			}
			if blocks.events > 0 {
				lastAt = x.reportEventGap(lastAt)
			}
		}
	}
}

// forwardBlocks forwards blocks of a stream, if there are any, after the head if they are the first.
// The answer begins with its first event: a call may get comments while it waits for the engine.
func (x *exchange) forwardBlocks(resp *http.Response, blocks relayedBlocks) *result.Refusal {
	if len(blocks.data) == 0 {
		return nil
	}
	if blocks.events > 0 {
		x.recordBegin()
	}
	if refusal := x.forwardHead(resp.StatusCode, streamHeader(resp.Header)); refusal != nil {
		return refusal
	}
	if refusal := x.forwardChunk(blocks.data); refusal != nil {
		return refusal
	}
	x.outcome.Delivered += blocks.events
	if blocks.lastEvent != "" {
		x.outcome.LastEvent = blocks.lastEvent
	}
	return nil
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
func (x *exchange) finishRelay(resp *http.Response, filter *blockFilter) *result.Refusal {
	if refusal := x.confirmEnd(); refusal != nil {
		return refusal
	}
	if refusal := x.forwardBlocks(resp, filter.takeHeld()); refusal != nil {
		return refusal
	}
	if x.outcome.Framing == FramingConnection && x.outcome.Delivered == 0 && x.resumeAfter() == "" {
		return result.Refuse(result.EndpointCut, "the stream ended before its first event")
	}
	x.recordBegin()
	x.outcome.Usage.PromptTokens = x.attempt.Call.PromptTokens
	x.outcome.Usage.GeneratedTokens = x.outcome.Delivered * x.attempt.Call.Routed.TokensPerEvent
	return x.forwardHead(resp.StatusCode, streamHeader(resp.Header))
}

// resumeAfter returns the id of the last event that the caller received before this
// attempt; empty for none.
func (x *exchange) resumeAfter() string {
	return cmp.Or(x.attempt.ResumeAfter, x.attempt.Call.Routed.ResumeAfter)
}
