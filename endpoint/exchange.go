package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// maxConnTries limits the connections tried when pooled ones turn out closed.
const maxConnTries = 8

// exchange is the state of one attempt.
type exchange struct {
	client  *Client
	ctx     context.Context
	attempt Attempt
	sink    Sink
	conn    connTracker
	outcome Outcome
	// sentAt is when the request was sent at the earliest.
	sentAt time.Time
	body   trackedBody
	// room is the part of the client's buffers that the response holds.
	room bounded.Share
	// completionID is the expected chat response id as a quoted JSON string.
	completionID string
	// headForwarded is set by the first call of forwardHead; sinkFailed once the
	// sink returned an error.
	headForwarded bool
	sinkFailed    bool
	// multipleChoices rules out resuming, which counts the tokens of a single choice.
	multipleChoices bool
}

// run sends the request and processes the response; nil means success.
func (x *exchange) run() *result.Refusal {
	if err := x.checkDeadline(); err != nil {
		return notSentRefusal(err)
	}
	x.sentAt = x.client.now()
	resp, refusal := x.roundTrip()
	if refusal != nil {
		return refusal
	}
	defer x.conn.release()
	defer func() { _ = resp.Body.Close() }()
	x.outcome.Sent = true
	x.outcome.Framing = framingOf(resp)
	x.outcome.StillOpen = x.conn.stillOpen()
	x.outcome.OpenAt = x.client.now()
	x.body = trackedBody{
		ReadCloser: resp.Body,
		x:          x,
	}
	resp.Body = &x.body
	refusal = x.handleResponse(resp)
	x.outcome.Succeeded = refusal == nil && resp.StatusCode < http.StatusMultipleChoices
	return refusal
}

// roundTrip sends the request once. If a reused connection breaks before any byte
// is written, it tries another connection, and at last a new one.
func (x *exchange) roundTrip() (*http.Response, *result.Refusal) {
	transport := x.transport()
	for tries := 1; ; tries++ {
		req, refusal := x.client.newRequest(x.withDialDeadline(x.conn.withTrace(x.ctx)), x.attempt)
		if refusal != nil {
			return nil, refusal
		}
		resp, err := transport.RoundTrip(req)
		x.conn.received()
		if err == nil {
			return resp, nil
		}
		if x.conn.brokeBeforeSend() && tries < maxConnTries && x.ctx.Err() == nil {
			if tries == maxConnTries-1 {
				transport = x.client.unpooled
			}
			continue
		}
		return nil, x.transportRefusal(transport, err)
	}
}

// transport returns the unpooled transport for non-idempotent calls, and the pooled one for
// all others. Routed calls use the pooled one as well, unless the endpoint refuses without an
// id: on a reused connection such a refusal is no proof that the call did not run.
func (x *exchange) transport() http.RoundTripper {
	// Only *http.Transport exposes its connections and so runs beforeSend.
	x.conn.beforeSend = x.beforeSend
	if x.attempt.Call.Idempotent {
		return x.client.pooled
	}
	if x.attempt.Call.Kind == call.KindRouted && !x.client.anonymous.recent(x.attempt.Endpoint.Addr, x.client.now()) {
		return x.client.pooled
	}
	return x.client.unpooled
}

// checkDeadline returns an error if the call is cancelled or past its deadline.
func (x *exchange) checkDeadline() error {
	if err := x.ctx.Err(); err != nil {
		return err
	}
	by := x.attempt.Call.Deadline
	if !by.IsZero() && !x.client.now().Before(by) {
		return context.DeadlineExceeded
	}
	return nil
}

func (x *exchange) beforeSend() error {
	if err := x.checkDeadline(); err != nil {
		return err
	}
	if x.attempt.BeforeSend == nil {
		return nil
	}
	return x.attempt.BeforeSend()
}

// transportRefusal classifies an attempt that received no response.
func (x *exchange) transportRefusal(transport http.RoundTripper, err error) *result.Refusal {
	sent, denied := x.conn.abort()
	if _, ok := transport.(*http.Transport); !ok {
		sent = true
	}
	x.outcome.Sent = sent
	switch {
	case sent:
		return x.readRefusal(err)
	case denied != nil:
		return notSentRefusal(denied)
	case x.ctx.Err() != nil:
		return notSentRefusal(x.ctx.Err())
	default:
		return result.Refuse(result.EndpointRefused, "the endpoint was not reached").WithCause(err)
	}
}

func notSentRefusal(err error) *result.Refusal {
	var refusal *result.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Refuse(result.DeadlinePassed, "nothing was sent").WithCause(err)
}

// readRefusal classifies an error after the request was sent.
func (x *exchange) readRefusal(err error) *result.Refusal {
	if cause := context.Cause(x.ctx); errors.Is(cause, call.ErrStopping) {
		return result.Refuse(result.VMStopped, "the VM stopped before the answer had ended").WithCause(cause)
	}
	if x.ctx.Err() != nil {
		return result.Refuse(result.EndpointTimeout, "the answer did not end in time").WithCause(x.ctx.Err())
	}
	var netErr net.Error
	cut := errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, errPartialEvent) ||
		errors.As(err, &netErr)
	if cut {
		return result.Refuse(result.EndpointCut, "the connection broke off").WithCause(err)
	}
	if errors.Is(err, bounded.ErrNoRoom) {
		x.outcome.AnsweredError = true
		return result.Refuse(result.EndpointFailed, "no room is left for the answer").WithCause(err)
	}
	if errors.Is(err, errEventTooLarge) || errors.Is(err, errNoEvents) {
		x.outcome.AnsweredError = true
	}
	return result.Refuse(result.EndpointFailed, "the answer is malformed").WithCause(err)
}

// handleResponse verifies the head of a response and forwards the rest.
func (x *exchange) handleResponse(resp *http.Response) *result.Refusal {
	if x.attempt.Call.Kind == call.KindRouted {
		return x.handleRoutedResponse(resp)
	}
	if refusal := x.verifyRequestID(resp.Header); refusal != nil {
		return refusal
	}
	x.outcome.Load = parseLoadHeaders(resp.Header, x.client.now())
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if resp.Header.Get(headerRun) == runNone {
			x.outcome.RetryAt = parseRetryAfter(resp.Header, x.client.now())
			return result.Refuse(result.EndpointRefused, "the endpoint refused with status %d", resp.StatusCode)
		}
		return result.Refuse(result.EndpointFailed, "the endpoint answered status %d", resp.StatusCode)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return result.Refuse(result.EndpointFailed, "the endpoint answered status %d", resp.StatusCode)
	}
	if resp.StatusCode < http.StatusOK {
		return result.Refuse(result.EndpointFailed, "the endpoint switched protocols")
	}
	isStream := x.attempt.Call.Kind == call.KindChat && x.attempt.Call.Stream
	if isStream && resp.StatusCode == http.StatusOK {
		return x.receiveStream(resp)
	}
	return x.receiveBody(resp)
}

// verifyRequestID rejects a response without this attempt's id. It runs before the
// status is read, because a refusal can belong to another attempt as well.
func (x *exchange) verifyRequestID(header http.Header) *result.Refusal {
	ids := header.Values(headerRequestID)
	if len(ids) == 0 {
		return result.Refuse(result.EndpointFailed, "the answer has no id")
	}
	for _, id := range ids {
		if id != x.attempt.ID {
			x.conn.discard()
			return result.Refuse(result.AnswerCrossed, "the answer has the id of another attempt")
		}
	}
	return nil
}

// parseRetryAfter converts a Retry-After header in seconds to a time; zero if absent.
func parseRetryAfter(header http.Header, now time.Time) time.Time {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(seconds) * time.Second)
}

// forwardHead sends the head to the sink once, except on a resumed attempt.
func (x *exchange) forwardHead(status int, header http.Header) *result.Refusal {
	if x.headForwarded {
		return nil
	}
	x.headForwarded = true
	if x.attempt.ResumeFrom > 0 || x.attempt.ResumeAfter != "" {
		return nil
	}
	return x.sinkRefusal(x.sink.Head(status, header))
}

// recordBegin records the first part of the answer that is forwarded.
func (x *exchange) recordBegin() {
	if !x.outcome.FirstByteAt.IsZero() {
		return
	}
	x.outcome.FirstByteAt = x.client.now()
	if x.attempt.OnFirstByte != nil {
		x.attempt.OnFirstByte()
	}
}

func (x *exchange) forwardChunk(data []byte) *result.Refusal {
	return x.sinkRefusal(x.sink.Chunk(data))
}

func (x *exchange) sinkRefusal(err error) *result.Refusal {
	if err == nil {
		return nil
	}
	x.sinkFailed = true
	return result.Refuse(result.EndpointTimeout, "the caller went away").WithCause(err)
}

// finish fills in the outcome.
func (x *exchange) finish(refusal *result.Refusal) Outcome {
	o := &x.outcome
	if refusal == nil {
		o.Code = result.Done
		return *o
	}
	o.Code = refusal.Code
	o.Err = refusal
	o.CallerDisconnected = x.sinkFailed || errors.Is(x.ctx.Err(), context.Canceled)
	o.Resumable = x.resumable(refusal.Code)
	if o.Delivered > 0 {
		o.Usage = call.Usage{
			PromptTokens:    x.attempt.Call.PromptTokens,
			GeneratedTokens: o.Delivered,
		}
	}
	return *o
}

// resumable reports whether another endpoint can continue the call. Everything
// forwarded so far ends on a token boundary.
func (x *exchange) resumable(code result.Code) bool {
	if x.sinkFailed || x.ctx.Err() != nil {
		return false
	}
	if x.multipleChoices && x.outcome.Delivered > 0 {
		return false
	}
	switch code {
	case result.EndpointRefused:
		return true
	case result.EndpointCut, result.EndpointFailed, result.AnswerCrossed, result.RefusalUnproven:
		return x.attempt.Call.Idempotent
	default:
		return false
	}
}
