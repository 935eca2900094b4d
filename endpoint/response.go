package endpoint

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// forwardedHeaders are the response headers that are forwarded to the caller.
var forwardedHeaders = []string{
	"Cache-Control",
	"Content-Disposition",
	"Content-Encoding",
	"Content-Language",
	"Content-Type",
	"Etag",
	"Expires",
	"Last-Modified",
	"Location",
	headerRequestID,
}

// maxPooledBytes is the largest buffer that is returned to a pool. Hundreds of pooled buffers of
// endless responses stay in memory for two collections.
const maxPooledBytes = 64 << 10

var buffers = sync.Pool{
	New: func() any { return new(bytes.Buffer) },
}

func releaseBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBytes {
		return
	}
	b.Reset()
	buffers.Put(b)
}

func forwardedHeader(header http.Header) http.Header {
	h := make(http.Header, len(forwardedHeaders))
	for _, name := range forwardedHeaders {
		if values := header[name]; len(values) > 0 {
			h[name] = values
		}
	}
	return h
}

// receiveBody reads and validates the whole response before forwarding it.
func (x *exchange) receiveBody(resp *http.Response) *result.Refusal {
	if x.attempt.ResumeFrom > 0 {
		return result.Refuse(result.EndpointFailed, "the endpoint did not resume the stream")
	}
	body, _ := buffers.Get().(*bytes.Buffer)
	defer releaseBuffer(body)
	if refusal := x.readBody(resp, body); refusal != nil {
		return refusal
	}
	data := body.Bytes()
	if x.attempt.Call.Kind == call.KindChat && resp.StatusCode == http.StatusOK {
		if refusal := x.validateCompletion(data); refusal != nil {
			return refusal
		}
		data = x.rewriteCompletionID(data)
	}
	header := forwardedHeader(resp.Header)
	if x.attempt.Call.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(data)))
	}
	x.recordBegin()
	if refusal := x.forwardHead(resp.StatusCode, header); refusal != nil {
		return refusal
	}
	if len(data) == 0 {
		return nil
	}
	return x.forwardChunk(data)
}

// readBody fills body. It rejects a response without a length or chunked encoding,
// whose truncation would go unnoticed.
func (x *exchange) readBody(resp *http.Response, body *bytes.Buffer) *result.Refusal {
	hasLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !hasLength {
		return result.Refuse(result.EndpointCut, "the answer has neither a length nor an end")
	}
	if resp.ContentLength > int64(x.client.maxResponseBytes) && x.attempt.Call.Method != http.MethodHead {
		return x.tooLargeRefusal()
	}
	return x.readAll(resp, body)
}

// readAll fills body. A response of a known length waits for the memory of all of it before it
// is read.
func (x *exchange) readAll(resp *http.Response, body *bytes.Buffer) *result.Refusal {
	if length := resp.ContentLength; length > 0 && length <= int64(x.client.maxResponseBytes) && x.attempt.Call.Method != http.MethodHead {
		size := int(length) + bytes.MinRead
		if err := x.room.Take(x.ctx, size); err != nil {
			return x.readRefusal(err)
		}
		if size > body.Available() {
			data, err := x.room.Allocate(x.ctx, size)
			if err != nil {
				return x.readRefusal(err)
			}
			*body = *bytes.NewBuffer(data)
		}
	}
	if err := x.room.ReadAll(body, resp.Body, x.client.maxResponseBytes); err != nil {
		return x.readRefusal(err)
	}
	if body.Len() > x.client.maxResponseBytes {
		return x.tooLargeRefusal()
	}
	return nil
}

func (x *exchange) tooLargeRefusal() *result.Refusal {
	x.outcome.AnsweredError = true
	return result.Refuse(result.EndpointFailed, "the answer is over %d bytes", x.client.maxResponseBytes)
}

// completion holds the validated fields of a non-streamed chat response.
type completion struct {
	ID      json.RawMessage    `json:"id"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage"`
}

type completionChoice struct {
	FinishReason json.RawMessage `json:"finish_reason"`
}

// usage is the token usage in a chat response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (x *exchange) validateCompletion(data []byte) *result.Refusal {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return result.Refuse(result.EndpointFailed, "the answer is malformed").WithCause(err)
	}
	if refusal := x.verifyCompletionID(c.ID); refusal != nil {
		return refusal
	}
	if len(c.Choices) == 0 {
		return result.Refuse(result.EndpointCut, "the answer has no choice")
	}
	for _, choice := range c.Choices {
		if !isSet(choice.FinishReason) {
			return result.Refuse(result.EndpointCut, "the answer has no finish reason")
		}
	}
	x.recordUsage(c.Usage)
	return nil
}

// verifyCompletionID compares the id in a response body, given as raw JSON.
func (x *exchange) verifyCompletionID(raw json.RawMessage) *result.Refusal {
	if !isSet(raw) {
		return result.Refuse(result.EndpointFailed, "the answer has no id")
	}
	if x.completionID == "" {
		x.completionID = quotedCompletionID(x.attempt.ID)
	}
	if string(raw) != x.completionID {
		return result.Refuse(result.AnswerCrossed, "the answer has the id of another attempt")
	}
	return nil
}

func quotedCompletionID(id string) string {
	return `"chatcmpl-` + id + `"`
}

// rewriteCompletionID replaces the attempt's id with the one sent to the caller.
func (x *exchange) rewriteCompletionID(data []byte) []byte {
	if x.attempt.CallerResponseID == "" || x.attempt.CallerResponseID == x.attempt.ID {
		return data
	}
	own, known := quotedCompletionID(x.attempt.ID), quotedCompletionID(x.attempt.CallerResponseID)
	return bytes.Replace(data, []byte(own), []byte(known), 1)
}

// isSet reports whether a JSON value is neither missing, null nor an empty string.
func isSet(raw json.RawMessage) bool {
	switch string(raw) {
	case "", "null", `""`:
		return false
	default:
		return true
	}
}

func (x *exchange) recordUsage(u *usage) {
	if u == nil {
		return
	}
	x.outcome.Usage = call.Usage{
		PromptTokens:    max(u.PromptTokens, 0),
		CachedTokens:    max(u.Details.CachedTokens, 0),
		GeneratedTokens: max(u.CompletionTokens-x.attempt.ResumeFrom, 0),
	}
}
