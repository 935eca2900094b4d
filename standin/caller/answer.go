package caller

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// The messages of the caller API are written here once more, apart from the
// gateway's own, so that the two check each other.

// Entry is one VM that the gateway names to a caller.
type Entry struct {
	VM         string `json:"vm"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
}

// Entries answers which VMs to use, best first.
type Entries struct {
	Workspace    string    `json:"workspace"`
	ViewRevision uint64    `json:"view_revision"`
	GoodUntil    time.Time `json:"good_until"`
	Entries      []Entry   `json:"entries"`
}

// Ticket names the VM that may run a non-idempotent call, first in Entries.
type Ticket struct {
	Ticket    string    `json:"ticket"`
	GoodUntil time.Time `json:"good_until"`
	Entries   []Entry   `json:"entries"`
}

// errorBody is the body of an answer that is not of class done.
type errorBody struct {
	Error failure `json:"error"`
}

type failure struct {
	Code       result.Code  `json:"code"`
	Class      result.Class `json:"class"`
	Message    string       `json:"message"`
	ComeBackAt time.Time    `json:"come_back_at"`
	Use        []Entry      `json:"use"`
	Ticket     string       `json:"ticket"`
}

// completion is a whole chat completion, or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type choice struct {
	Delta   content `json:"delta"`
	Message content `json:"message"`
}

type content struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	PromptDetails    promptDetail `json:"prompt_tokens_details"`
}

type promptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

func (u usage) usage() call.Usage {
	return call.Usage{
		PromptTokens:    u.PromptTokens,
		CachedTokens:    u.PromptDetails.CachedTokens,
		GeneratedTokens: u.CompletionTokens,
	}
}
