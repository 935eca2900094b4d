package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Paths of the caller API.
const (
	pathChat     = "/v1/chat/completions"
	pathEntries  = "/v1/entries"
	pathTickets  = "/v1/tickets"
	pathServices = "/v1/services/"
)

// Chat is a chat completion request.
type Chat struct {
	Model string
	// System is the shared prefix of the prompt; it may be empty.
	System  string
	Message string
	// MaxTokens bounds the generated tokens; zero leaves it to the model.
	MaxTokens int
	Stream    bool
	CallOptions
}

// Service is a call to a plain service.
type Service struct {
	Service string
	// Method is GET if empty. Path begins with "/" and may hold a query.
	Method string
	Path   string
	Body   []byte
	// Ticket is an existing ticket; WithTicket requests one before the call. With
	// neither, a call that needs a ticket uses the one from the refusal.
	Ticket         string
	WithTicket     bool
	IdempotencyKey string
	CallOptions
}

// CallOptions are the options common to all calls.
type CallOptions struct {
	// Deadline limits the call; zero means the contract's default.
	Deadline time.Time
	// Priority is "urgent", "chat" or "report"; empty means the gateway's default.
	Priority string
}

// request is a call in the form that attempts send.
type request struct {
	method     string
	path       string
	header     http.Header
	body       []byte
	chat       bool
	ticket     string
	withTicket bool
	deadline   time.Time
}

type chatBody struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (c Chat) request() (*request, error) {
	body := chatBody{
		Model:     c.Model,
		MaxTokens: c.MaxTokens,
		Stream:    c.Stream,
	}
	if c.System != "" {
		body.Messages = append(body.Messages, chatMessage{
			Role:    "system",
			Content: c.System,
		})
	}
	body.Messages = append(body.Messages, chatMessage{
		Role:    "user",
		Content: c.Message,
	})
	if c.Stream {
		body.StreamOptions = &streamOptions{
			IncludeUsage: true,
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	header := c.header()
	header.Set("Content-Type", "application/json")
	return &request{
		method:   http.MethodPost,
		path:     pathChat,
		header:   header,
		body:     data,
		chat:     true,
		deadline: c.Deadline,
	}, nil
}

func (s Service) request() *request {
	header := s.header()
	if s.IdempotencyKey != "" {
		header.Set("Idempotency-Key", s.IdempotencyKey)
	}
	if s.Method == "" {
		s.Method = http.MethodGet
	}
	return &request{
		method:     s.Method,
		path:       pathServices + s.Service + "/" + strings.TrimPrefix(s.Path, "/"),
		header:     header,
		body:       s.Body,
		ticket:     s.Ticket,
		withTicket: s.WithTicket,
		deadline:   s.Deadline,
	}
}

func (t CallOptions) header() http.Header {
	header := http.Header{}
	if !t.Deadline.IsZero() {
		header.Set("Fuchsianotch-Deadline", t.Deadline.Format(time.RFC3339Nano))
	}
	if t.Priority != "" {
		header.Set("Fuchsianotch-Priority", t.Priority)
	}
	return header
}

// repeatable reports whether the call may be retried after an unknown outcome:
// its method is safe, or its ticket lets it run at most once.
func (q *request) repeatable() bool {
	return q.ticket != "" || q.method == http.MethodGet || q.method == http.MethodHead
}
