// Package call holds one caller's request and its outcome as plain data, in
// the form that every part of the system passes on.
package call

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/logs"
)

// Kind tells what a call is for.
type Kind int

// The kinds of calls.
const (
	KindChat Kind = iota + 1
	KindService
	// KindRouted is a call whose target and terms follow from a published route.
	KindRouted
)

// Priority orders calls that wait for the same endpoints.
type Priority int

// Priorities from first to last. Urgent calls are short ones such as confirm,
// release, flags and acknowledgements; reports tolerate delay.
const (
	PriorityUrgent Priority = iota
	PriorityChat
	PriorityReport
	// Priorities is the number of priorities.
	Priorities = 3
)

var priorityNames = [Priorities]string{"urgent", "chat", "report"}

// String returns the name used in documents and headers.
func (p Priority) String() string {
	return priorityNames[p]
}

// ParsePriority reads a name as String gives it.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Call is one request of a caller, read whole.
type Call struct {
	// ID is the request's id, unique per arrival, on the time line and in answers.
	ID        string
	Workspace string
	Kind      Kind
	// Model or Service names the target.
	Model   string
	Service string
	// Method and Path are what the endpoint is sent; Path keeps its query.
	Method string
	Path   string
	// Header holds only headers that may pass to the endpoint.
	Header     http.Header
	Body       []byte
	Stream     bool
	Idempotent bool
	Priority   Priority
	// Ticket is the caller's ticket for a non-idempotent call.
	Ticket string
	// FirstBy and WholeBy are the deadlines of the first token and the whole answer.
	FirstBy time.Time
	WholeBy time.Time
	// PromptTokens is an estimate; MaxTokens bounds the generated tokens.
	PromptTokens int
	MaxTokens    int
	// PrefixHash identifies the prompt prefix for cache affinity; zero means none.
	PrefixHash uint64
	// Forwarded is set on a call that came from another VM; it is never forwarded again.
	Forwarded bool
	// Origin is the region whose limits were charged, set on a borrowed call.
	Origin string
	// Routed is set on calls of KindRouted only.
	Routed *Routed
	// Content tells calls with another content apart, see ContentHash; zero until
	// the call is served.
	Content uint64
	// Trial is set on a call that is held, as endpoints crashed under it, and is let
	// through to see whether they still do.
	Trial bool
	// Trail takes the log lines about the call; it may be nil.
	Trail *logs.Trail
}

// ContentHash hashes what a call asks for: its workspace, host, method, path and
// body. A call that a caller sends again has the same one under another id, at
// whatever VM. What describes the try only (deadlines, estimates, the event to go on
// after) is left out.
func (c *Call) ContentHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	host := ""
	if c.Routed != nil {
		host = c.Routed.Host
	}
	for _, part := range [...]string{c.Workspace, host, c.Method, c.Path} {
		// A Digest never fails to write.
		_, _ = d.WriteString(part)
		_, _ = d.Write(contentSeparator)
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// contentSeparator is in no host, method or path.
var contentSeparator = []byte{0}

// Target names the model or service.
func (c *Call) Target() string {
	if c.Kind == KindChat {
		return c.Model
	}
	return c.Service
}

// Usage is what an answer consumed, in tokens.
type Usage struct {
	PromptTokens    int `json:"prompt_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	GeneratedTokens int `json:"generated_tokens"`
}
