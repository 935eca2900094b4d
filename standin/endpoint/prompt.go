package endpoint

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

const defaultMaxTokens = 16

// chatRequest holds the decoded fields of a chat completion request.
type chatRequest struct {
	Messages            []message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
}

type message struct {
	Role string `json:"role"`
	// Content is a string, or a list of parts whose raw JSON serves as the text.
	Content json.RawMessage `json:"content"`
}

func (m message) text() string {
	var text string
	if err := json.Unmarshal(m.Content, &text); err != nil {
		return string(m.Content)
	}
	return text
}

func (p chatRequest) maxTokens() int {
	switch {
	case p.MaxCompletionTokens != nil:
		return max(*p.MaxCompletionTokens, 0)
	case p.MaxTokens != nil:
		return max(*p.MaxTokens, 0)
	default:
		return defaultMaxTokens
	}
}

// newJob creates a job from a request. Each word counts as a token.
func newJob(header http.Header, p chatRequest, resumes bool) *job {
	var words []string
	marker := ""
	for _, m := range p.Messages {
		text := m.text()
		words = append(words, m.Role)
		words = append(words, strings.Fields(text)...)
		if m.Role == "user" {
			marker = fault.Marker([]byte(text))
		}
	}
	j := &job{
		id:           header.Get(fault.HeaderRequestID),
		operation:    fault.OperationKey(header),
		marker:       marker,
		priority:     parsePriority(header),
		blocks:       hashBlocks(words),
		promptTokens: len(words),
		total:        p.maxTokens(),
		wake:         make(chan struct{}, 1),
		ready:        make(chan struct{}),
	}
	if resumes {
		j.resumedFrom = min(parseResumeFrom(header), j.total)
	}
	j.produced.Store(int64(j.resumedFrom))
	return j
}

func parsePriority(header http.Header) call.Priority {
	n, err := strconv.Atoi(header.Get("X-Priority"))
	if err != nil || n < 0 || n >= call.Priorities {
		return call.PriorityChat
	}
	return call.Priority(n)
}

func parseResumeFrom(header http.Header) int {
	n, err := strconv.Atoi(header.Get("X-Resume-From"))
	if err != nil {
		return 0
	}
	return max(n, 0)
}
