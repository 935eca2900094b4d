package endpoint

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	eventStream = "text/event-stream"
	// drainTimeout limits the wait for the end of the body after the last event, which
	// lets the connection be reused.
	drainTimeout = 20 * time.Millisecond
	// maxChoices is the number of choices that fit the bit sets of chatStream.
	maxChoices = 64
)

var doneData = []byte("[DONE]")

// chunk holds the validated fields of one event of a chat stream. Its slices are
// reused from event to event.
type chunk struct {
	ID      json.RawMessage `json:"id"`
	Choices []chunkChoice   `json:"choices"`
	Usage   *usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        chunkDelta      `json:"delta"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type chunkDelta struct {
	Content          json.RawMessage `json:"content"`
	ReasoningContent json.RawMessage `json:"reasoning_content"`
	ToolCalls        json.RawMessage `json:"tool_calls"`
}

func (c *chunk) reset() {
	c.ID = c.ID[:0]
	c.Error = c.Error[:0]
	c.Usage = nil
	c.Choices = c.Choices[:cap(c.Choices)]
	for i := range c.Choices {
		choice := &c.Choices[i]
		choice.Index = 0
		choice.FinishReason = choice.FinishReason[:0]
		choice.Delta.Content = choice.Delta.Content[:0]
		choice.Delta.ReasoningContent = choice.Delta.ReasoningContent[:0]
		choice.Delta.ToolCalls = choice.Delta.ToolCalls[:0]
	}
	c.Choices = c.Choices[:0]
}

func (d *chunkDelta) hasToken() bool {
	return isSet(d.Content) || isSet(d.ReasoningContent) || isSet(d.ToolCalls)
}

// chatStream is the state of a forwarded chat stream. It holds back everything
// before the first token and everything from the last finish reason to [DONE], so
// that another endpoint can always resume on a token boundary.
type chatStream struct {
	decoder *jsonDecoder
	chunk   chunk
	// pending are buffered events; pendingTokens counts the tokens in them.
	pending       bytes.Buffer
	pendingTokens int
	// seen and finished are bit sets of choice indexes.
	seen     uint64
	finished uint64
	started  bool
}

var chatStreams = sync.Pool{
	New: func() any {
		return &chatStream{decoder: newJSONDecoder()}
	},
}

func (s *chatStream) release() {
	if s.pending.Cap() > maxPooledBytes {
		return
	}
	s.pending.Reset()
	s.pendingTokens = 0
	s.seen = 0
	s.finished = 0
	s.started = false
	chatStreams.Put(s)
}

func (s *chatStream) allFinished() bool {
	return s.seen != 0 && s.seen == s.finished
}

// receiveStream validates and forwards a chat stream.
func (x *exchange) receiveStream(resp *http.Response) *result.Refusal {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || mediaType != eventStream {
		return result.Refuse(result.EndpointFailed, "the answer is not an event stream")
	}
	if refusal := x.verifyResumePoint(resp.Header); refusal != nil {
		return refusal
	}
	s, _ := chatStreams.Get().(*chatStream)
	defer s.release()
	reader := newEventReader(resp.Body, x.client.maxResponseBytes)
	reader.held = &s.pending
	reader.room = &x.room
	defer reader.release()
	for {
		data, named, err := reader.next()
		if err != nil {
			return x.readRefusal(err)
		}
		if named {
			return result.Refuse(result.EndpointFailed, "the endpoint sent an event that is no chunk")
		}
		if bytes.Equal(data, doneData) {
			return x.finishStream(s, resp, reader)
		}
		if refusal := x.handleChunk(s, resp, data); refusal != nil {
			return refusal
		}
	}
}

// verifyResumePoint requires the endpoint to resume exactly after the tokens that
// the caller received.
func (x *exchange) verifyResumePoint(header http.Header) *result.Refusal {
	from := header.Get(headerResumedFrom)
	if x.attempt.ResumeFrom == 0 && from == "" {
		return nil
	}
	if from != strconv.Itoa(x.attempt.ResumeFrom) {
		return result.Refuse(result.EndpointFailed, "the endpoint did not resume from token %d", x.attempt.ResumeFrom)
	}
	return nil
}

// handleChunk validates one chunk and forwards or buffers it.
func (x *exchange) handleChunk(s *chatStream, resp *http.Response, data []byte) *result.Refusal {
	s.chunk.reset()
	if err := s.decoder.decode(data, &s.chunk); err != nil {
		s.decoder = newJSONDecoder()
		return result.Refuse(result.EndpointFailed, "a chunk is malformed").WithCause(err)
	}
	if refusal := x.verifyCompletionID(s.chunk.ID); refusal != nil {
		return refusal
	}
	if isSet(s.chunk.Error) {
		return result.Refuse(result.EndpointFailed, "the endpoint broke the stream off with an error")
	}
	tokens, refusal := s.countTokens()
	if refusal != nil {
		return refusal
	}
	x.multipleChoices = s.seen&(s.seen-1) != 0
	x.recordUsage(s.chunk.Usage)
	isOpening := !s.started && tokens == 0 && s.finished == 0
	if isOpening && x.attempt.ResumeFrom > 0 {
		// The previous attempt already forwarded the opening events.
		return nil
	}
	s.addPending(x.rewriteCompletionID(data), tokens)
	if isOpening || s.allFinished() {
		return nil
	}
	s.started = true
	return x.flushPending(s, resp)
}

// countTokens returns the tokens in the chunk, at most one per choice.
func (s *chatStream) countTokens() (tokens int, refusal *result.Refusal) {
	for i := range s.chunk.Choices {
		choice := &s.chunk.Choices[i]
		if choice.Index < 0 || choice.Index >= maxChoices {
			return 0, result.Refuse(result.EndpointFailed, "a chunk is of choice %d", choice.Index)
		}
		bit := uint64(1) << choice.Index
		s.seen |= bit
		if choice.Delta.hasToken() {
			if s.finished&bit != 0 {
				return 0, result.Refuse(result.EndpointFailed, "a finished choice goes on")
			}
			tokens++
		}
		if isSet(choice.FinishReason) {
			s.finished |= bit
		}
	}
	return tokens, nil
}

func (s *chatStream) addPending(data []byte, tokens int) {
	s.pending.WriteString("data: ")
	s.pending.Write(data)
	s.pending.WriteString("\n\n")
	s.pendingTokens += tokens
}

// flushPending forwards all buffered events in one call.
func (x *exchange) flushPending(s *chatStream, resp *http.Response) *result.Refusal {
	if !x.headForwarded {
		x.recordBegin()
		if refusal := x.forwardHead(resp.StatusCode, forwardedHeader(resp.Header)); refusal != nil {
			return refusal
		}
	}
	if refusal := x.forwardChunk(s.pending.Bytes()); refusal != nil {
		return refusal
	}
	x.outcome.Delivered += s.pendingTokens
	s.pending.Reset()
	s.pendingTokens = 0
	return nil
}

// finishStream forwards the buffered end of the stream if every choice has finished.
func (x *exchange) finishStream(s *chatStream, resp *http.Response, reader *eventReader) *result.Refusal {
	if !s.allFinished() {
		return result.Refuse(result.EndpointCut, "the stream ended without a finish reason")
	}
	s.addPending(doneData, 0)
	if refusal := x.flushPending(s, resp); refusal != nil {
		return refusal
	}
	if x.outcome.Usage.GeneratedTokens == 0 {
		x.outcome.Usage.GeneratedTokens = x.outcome.Delivered
	}
	drain(resp.Body, reader)
	return nil
}

// drain reads to the end of the body, so that the connection can be reused, or
// closes it after drainTimeout.
func drain(body io.Closer, reader *eventReader) {
	stop := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer stop.Stop()
	_, _ = reader.reader.ReadByte()
}
