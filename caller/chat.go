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

// chatRequest is the part of a chat completion request that the system reads.
// The body passes on to the endpoint as it came.
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

// chat serves a chat completion.
func (s *Server) chat(q *request) {
	place := s.place(q, true)
	if place.Kind == serving.PlaceRefuse {
		s.refuse(q, place.Refusal)
		return
	}
	body, refusal := s.readBody(q)
	if refusal != nil {
		s.refuse(q, refusal)
		return
	}
	c, refusal := s.chatCall(q, body)
	if refusal != nil {
		s.refuse(q, refusal)
		return
	}
	s.serve(q, c, place)
}

func (s *Server) chatCall(q *request, body []byte) (*call.Call, *result.Refusal) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, result.Refuse(result.BadRequest, "the body is not a chat completion request: %v", err)
	}
	if refusal := s.checkChat(q, &chat); refusal != nil {
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
	c.PromptTokens = promptTokens(chat.Messages)
	c.MaxTokens = s.maxTokens(&chat)
	c.PrefixHash = prefixHash(&chat)
	if !c.Stream {
		c.FirstBy = c.WholeBy
	}
	return c, nil
}

func (s *Server) checkChat(q *request, chat *chatRequest) *result.Refusal {
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
	if askedTokens(chat) > model.MaxTokens {
		return result.Refuse(result.BadRequest, "max_tokens is over the model's bound of %d", model.MaxTokens)
	}
	return nil
}

func askedTokens(chat *chatRequest) int {
	return max(chat.MaxTokens, chat.MaxCompletionTokens)
}

func (s *Server) maxTokens(chat *chatRequest) int {
	if asked := askedTokens(chat); asked > 0 {
		return asked
	}
	model, _ := s.options.Snapshot().Model(chat.Model)
	return model.MaxTokens
}

// promptTokens estimates the prompt's tokens by its words.
func promptTokens(messages []chatMessage) int {
	words := 0
	for _, m := range messages {
		words += len(strings.Fields(string(m.Content)))
	}
	return words
}

// prefixHash identifies the prompt's shared prefix: its model and system
// message, or its first message where there is none.
func prefixHash(chat *chatRequest) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(chat.Model)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(chat.Messages[0].Content)
	return h.Sum64()
}
