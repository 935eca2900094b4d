package caller

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// The types of the caller API are deliberately not shared with the gateway, so
// that tests detect incompatible changes.

// Entry is a VM that a caller may send its calls to.
type Entry struct {
	VM         string `json:"vm"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
}

// Entries is the response to GET /v1/entries: the VMs to use, best first.
type Entries struct {
	Workspace    string    `json:"workspace"`
	ViewRevision uint64    `json:"view_revision"`
	GoodUntil    time.Time `json:"good_until"`
	Entries      []Entry   `json:"entries"`
}

// Ticket is the response to POST /v1/tickets. The first VM in Entries may run the
// non-idempotent call.
type Ticket struct {
	Ticket    string    `json:"ticket"`
	GoodUntil time.Time `json:"good_until"`
	Entries   []Entry   `json:"entries"`
}

// errorBody is the body of a response whose class is not done.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    result.Code  `json:"code"`
	Class   result.Class `json:"class"`
	Message string       `json:"message"`
	RetryAt time.Time    `json:"come_back_at"`
	Use     []Entry      `json:"use"`
	Ticket  string       `json:"ticket"`
}

// completion is a chat completion, or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type choice struct {
	Delta   message `json:"delta"`
	Message message `json:"message"`
}

type message struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	PromptDetails    promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (u usage) usage() call.Usage {
	return call.Usage{
		PromptTokens:    u.PromptTokens,
		CachedTokens:    u.PromptDetails.CachedTokens,
		GeneratedTokens: u.CompletionTokens,
	}
}
