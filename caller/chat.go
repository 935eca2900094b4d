package caller

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

// chatRequest holds the fields of a chat completion request that the gateway
// reads. The body is forwarded to the endpoint unchanged.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// handleChat serves a chat completion.
func (s *Server) handleChat(q *request) {
	placement := s.placeCall(q, true)
	if placement.Kind == serving.PlaceRefuse {
		s.refuse(q, placement.Refusal)
		return
	}
	body, refusal := s.readBody(q)
	if refusal != nil {
		s.refuse(q, refusal)
		return
	}
	c, refusal := s.newChatCall(q, body)
	if refusal != nil {
		s.refuse(q, refusal)
		return
	}
	s.dispatch(q, c, placement)
}

func (s *Server) newChatCall(q *request, body []byte) (*call.Call, *result.Refusal) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, result.Refuse(result.BadRequest, "the body is not a chat completion request: %v", err)
	}
	if refusal := s.validateChat(q, &chat); refusal != nil {
		return nil, refusal
	}
	c, refusal := s.newCall(q, call.PriorityChat)
	if refusal != nil {
		return nil, refusal
	}
	c.Kind = call.KindChat
	c.Model = chat.Model
	c.Path = PathChat
	c.Body = body
	c.Stream = chat.Stream
	c.Idempotent = true
	c.PromptTokens = estimatePromptTokens(chat.Messages)
	c.MaxTokens = s.maxTokens(&chat)
	c.PrefixHash = prefixHash(&chat)
	if !c.Stream {
		c.FirstTokenDeadline = c.Deadline
	}
	return c, nil
}

func (s *Server) validateChat(q *request, chat *chatRequest) *result.Refusal {
	if len(chat.Messages) == 0 {
		return result.Refuse(result.BadRequest, "messages must hold at least one message")
	}
	if chat.MaxTokens < 0 || chat.MaxCompletionTokens < 0 {
		return result.Refuse(result.BadRequest, "max_tokens must not be negative")
	}
	model, ok := s.options.Snapshot().Model(chat.Model)
	if !ok {
		return result.Refuse(result.UnknownTarget, "no model %q", chat.Model)
	}
	if !slices.Contains(q.contract.Models, chat.Model) {
		return result.Refuse(result.NotInContract, "the contract does not allow model %q", chat.Model)
	}
	if requestedTokens(chat) > model.MaxTokens {
		return result.Refuse(result.BadRequest, "max_tokens is over the model's bound of %d", model.MaxTokens)
	}
	return nil
}

func requestedTokens(chat *chatRequest) int {
	return max(chat.MaxTokens, chat.MaxCompletionTokens)
}

func (s *Server) maxTokens(chat *chatRequest) int {
	if requested := requestedTokens(chat); requested > 0 {
		return requested
	}
	model, _ := s.options.Snapshot().Model(chat.Model)
	return model.MaxTokens
}

// estimatePromptTokens approximates the number of tokens by the number of words.
func estimatePromptTokens(messages []chatMessage) int {
	words := 0
	for _, m := range messages {
		words += len(strings.Fields(string(m.Content)))
	}
	return words
}

// prefixHash hashes the model and the first message, usually the system prompt,
// so that calls with a common prefix can share an endpoint's cache.
func prefixHash(chat *chatRequest) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(chat.Model)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(chat.Messages[0].Content)
	return h.Sum64()
}
