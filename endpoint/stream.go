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
	// drainWithin bounds the wait for a stream's end after its last event, so
	// that the connection can be reused.
	drainWithin = 20 * time.Millisecond
	// maxChoices is how many choices of one answer are followed.
	maxChoices = 64
)

var doneData = []byte("[DONE]")

// chunk is what is checked of one event of a chat stream. Its slices keep
// their memory from event to event.
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
	return present(d.Content) || present(d.ReasoningContent) || present(d.ToolCalls)
}

// stream is a chat stream being passed on. Nothing is passed on before the
// first token, and nothing of the end before [DONE]: what the caller has is
// then always a number of whole tokens, from which another endpoint can go on.
type stream struct {
	decoder *decoder
	chunk   chunk
	// held are events that wait; heldTokens are the tokens in them.
	held       bytes.Buffer
	heldTokens int
	// seen and finished are sets of choices.
	seen     uint64
	finished uint64
	started  bool
}

var streams = sync.Pool{
	New: func() any {
		return &stream{decoder: newDecoder()}
	},
}

func (s *stream) release() {
	if s.held.Cap() > keptBytes {
		return
	}
	s.held.Reset()
	s.heldTokens = 0
	s.seen = 0
	s.finished = 0
	s.started = false
	streams.Put(s)
}

func (s *stream) whole() bool {
	return s.seen != 0 && s.seen == s.finished
}

// receiveStream passes a chat stream on.
func (x *exchange) receiveStream(resp *http.Response) *result.Refusal {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || mediaType != eventStream {
		return result.Refuse(result.EndpointFailed, "the answer is not an event stream")
	}
	if refusal := x.matchResume(resp.Header); refusal != nil {
		return refusal
	}
	s, _ := streams.Get().(*stream)
	defer s.release()
	reader := newEvents(resp.Body, x.client.maxAnswer)
	defer reader.release()
	for {
		data, named, err := reader.next()
		if err != nil {
			return x.lost(err)
		}
		if named {
			return result.Refuse(result.EndpointFailed, "the endpoint sent an event that is no chunk")
		}
		if bytes.Equal(data, doneData) {
			return x.endStream(s, resp, reader)
		}
		if refusal := x.takeChunk(s, resp, data); refusal != nil {
			return refusal
		}
	}
}

// matchResume requires the endpoint to go on exactly where the caller is.
func (x *exchange) matchResume(header http.Header) *result.Refusal {
	from := header.Get(headerResumedFrom)
	if x.attempt.ResumeFrom == 0 && from == "" {
		return nil
	}
	if from != strconv.Itoa(x.attempt.ResumeFrom) {
		return result.Refuse(result.EndpointFailed, "the endpoint did not resume from token %d", x.attempt.ResumeFrom)
	}
	return nil
}

// takeChunk checks one chunk, and passes it on or holds it.
func (x *exchange) takeChunk(s *stream, resp *http.Response, data []byte) *result.Refusal {
	s.chunk.reset()
	if err := s.decoder.decode(data, &s.chunk); err != nil {
		s.decoder = newDecoder()
		return result.Refuse(result.EndpointFailed, "a chunk is malformed").Because(err)
	}
	if refusal := x.matchID(s.chunk.ID); refusal != nil {
		return refusal
	}
	if present(s.chunk.Error) {
		return result.Refuse(result.EndpointFailed, "the endpoint broke the stream off with an error")
	}
	tokens, refusal := s.count()
	if refusal != nil {
		return refusal
	}
	x.severalChoices = s.seen&(s.seen-1) != 0
	x.use(s.chunk.Usage)
	isOpening := !s.started && tokens == 0 && s.finished == 0
	if isOpening && x.attempt.ResumeFrom > 0 {
		// The caller has the opening from the attempt before.
		return nil
	}
	s.hold(x.renamed(data), tokens)
	if isOpening || s.whole() {
		return nil
	}
	s.started = true
	return x.release(s, resp)
}

// count returns the tokens in the chunk, at most one for each choice.
func (s *stream) count() (tokens int, refusal *result.Refusal) {
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
		if present(choice.FinishReason) {
			s.finished |= bit
		}
	}
	return tokens, nil
}

func (s *stream) hold(data []byte, tokens int) {
	s.held.WriteString("data: ")
	s.held.Write(data)
	s.held.WriteString("\n\n")
	s.heldTokens += tokens
}

// release passes all held events on in one piece.
func (x *exchange) release(s *stream, resp *http.Response) *result.Refusal {
	if !x.headed {
		if refusal := x.passHead(resp.StatusCode, passed(resp.Header)); refusal != nil {
			return refusal
		}
	}
	if refusal := x.passChunk(s.held.Bytes()); refusal != nil {
		return refusal
	}
	x.outcome.Delivered += s.heldTokens
	s.held.Reset()
	s.heldTokens = 0
	return nil
}

// endStream passes the end on, if the answer is whole.
func (x *exchange) endStream(s *stream, resp *http.Response, reader *events) *result.Refusal {
	if !s.whole() {
		return result.Refuse(result.EndpointCut, "the stream ended without a finish reason")
	}
	s.hold(doneData, 0)
	if refusal := x.release(s, resp); refusal != nil {
		return refusal
	}
	if x.outcome.Usage.GeneratedTokens == 0 {
		x.outcome.Usage.GeneratedTokens = x.outcome.Delivered
	}
	drain(resp.Body, reader)
	return nil
}

// drain reads to the end of the body, so that the connection can be reused. A
// body that doesn't end soon loses its connection instead.
func drain(body io.Closer, reader *events) {
	stop := time.AfterFunc(drainWithin, func() { _ = body.Close() })
	defer stop.Stop()
	_, _ = reader.reader.ReadByte()
}
