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
	"github.com/fuchsianotch/fuchsianotch/result"
)

// maxStaleRetries is how many connections that broke while idle are given up for one attempt.
const maxStaleRetries = 8

// exchange is one attempt under way.
type exchange struct {
	client  *Client
	ctx     context.Context
	attempt Attempt
	sink    Sink
	conn    connTracker
	outcome Outcome
	// completionID is the id of an own chat answer, in its JSON form.
	completionID string
	// headForwarded says that Sink.Head was called; sinkFailed that the sink gave an error.
	headForwarded bool
	sinkFailed    bool
	// multipleChoices rules resuming out: tokens are counted over one choice only.
	multipleChoices bool
}

// run sends the request and receives the answer; nil means done.
func (x *exchange) run() *result.Refusal {
	if err := x.checkDeadline(); err != nil {
		return notSentRefusal(err)
	}
	resp, refusal := x.roundTrip()
	if refusal != nil {
		return refusal
	}
	defer func() { _ = resp.Body.Close() }()
	x.outcome.Sent = true
	return x.handleResponse(resp)
}

// roundTrip sends the request once. A reused connection that broke before any
// byte went out is replaced by another one; nothing was sent on it.
func (x *exchange) roundTrip() (*http.Response, *result.Refusal) {
	transport := x.transport()
	for tries := 1; ; tries++ {
		req, refusal := x.client.newRequest(x.conn.withTrace(x.ctx), x.attempt)
		if refusal != nil {
			return nil, refusal
		}
		resp, err := transport.RoundTrip(req)
		if err == nil {
			return resp, nil
		}
		if x.conn.brokeBeforeSend() && tries < maxStaleRetries && x.ctx.Err() == nil {
			continue
		}
		return nil, x.transportRefusal(transport, err)
	}
}

func (x *exchange) transport() http.RoundTripper {
	// The gate runs as the first byte goes out, where the transport shows it.
	x.conn.beforeSend = x.beforeSend
	if x.attempt.Call.Idempotent || x.attempt.Call.Kind == call.KindRouted {
		return x.client.pooled
	}
	return x.client.unpooled
}

// checkDeadline reports whether there is still time to send.
func (x *exchange) checkDeadline() error {
	if err := x.ctx.Err(); err != nil {
		return err
	}
	by := x.attempt.Call.WholeBy
	if !by.IsZero() && !x.client.now().Before(by) {
		return context.DeadlineExceeded
	}
	return nil
}

func (x *exchange) beforeSend() error {
	if err := x.checkDeadline(); err != nil {
		return err
	}
	if x.attempt.Sending == nil {
		return nil
	}
	return x.attempt.Sending()
}

// transportRefusal judges an attempt that got no answer at all.
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
		return result.Refuse(result.EndpointRefused, "the endpoint was not reached").Because(err)
	}
}

func notSentRefusal(err error) *result.Refusal {
	var refusal *result.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Refuse(result.DeadlinePassed, "nothing was sent").Because(err)
}

// readRefusal judges an error after the request went out.
func (x *exchange) readRefusal(err error) *result.Refusal {
	if x.ctx.Err() != nil {
		return result.Refuse(result.EndpointTimeout, "the answer did not end in time").Because(x.ctx.Err())
	}
	var netErr net.Error
	cut := errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) ||
		errors.As(err, &netErr)
	if cut {
		return result.Refuse(result.EndpointCut, "the connection broke off").Because(err)
	}
	return result.Refuse(result.EndpointFailed, "the answer is malformed").Because(err)
}

// handleResponse judges the head of an answer, and takes the rest.
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
			x.outcome.ComeBackAt = parseRetryAfter(resp.Header, x.client.now())
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

// verifyRequestID refuses an answer that isn't marked as this attempt's own. This
// comes before the status, because a refusal may be crossed as well.
func (x *exchange) verifyRequestID(header http.Header) *result.Refusal {
	ids := header.Values(headerRequestID)
	if len(ids) == 0 {
		return result.Refuse(result.EndpointFailed, "the answer has no id")
	}
	for _, id := range ids {
		if id != x.attempt.ID {
			x.conn.taint()
			return result.Refuse(result.AnswerCrossed, "the answer has the id of another attempt")
		}
	}
	return nil
}

// parseRetryAfter reads the header's seconds; zero means none.
func parseRetryAfter(header http.Header, now time.Time) time.Time {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(seconds) * time.Second)
}

// forwardHead passes the head to the sink once, and never on a resumed attempt.
func (x *exchange) forwardHead(status int, header http.Header) *result.Refusal {
	if x.headForwarded {
		return nil
	}
	x.headForwarded = true
	x.outcome.FirstAt = x.client.now()
	if x.attempt.Began != nil {
		x.attempt.Began()
	}
	if x.attempt.ResumeFrom > 0 || x.attempt.ResumeAfter != "" {
		return nil
	}
	return x.sinkRefusal(x.sink.Head(status, header))
}

func (x *exchange) forwardChunk(data []byte) *result.Refusal {
	return x.sinkRefusal(x.sink.Chunk(data))
}

func (x *exchange) sinkRefusal(err error) *result.Refusal {
	if err == nil {
		return nil
	}
	x.sinkFailed = true
	return result.Refuse(result.EndpointTimeout, "the caller went away").Because(err)
}

// finish completes the outcome.
func (x *exchange) finish(refusal *result.Refusal) Outcome {
	o := &x.outcome
	if refusal == nil {
		o.Code = result.Done
		return *o
	}
	o.Code = refusal.Code
	o.Err = refusal
	o.CallerGone = x.sinkFailed || errors.Is(x.ctx.Err(), context.Canceled)
	o.Resumable = x.resumable(refusal.Code)
	if o.Delivered > 0 {
		o.Usage = call.Usage{
			PromptTokens:    x.attempt.Call.PromptTokens,
			GeneratedTokens: o.Delivered,
		}
	}
	return *o
}

// resumable reports whether another endpoint may go on. What was passed on so far
// is a number of whole tokens, or nothing.
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
	case result.EndpointCut, result.EndpointFailed, result.AnswerCrossed:
		return x.attempt.Call.Idempotent
	default:
		return false
	}
}
