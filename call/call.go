// Package call defines a caller's request and its outcome as plain data that the
// other packages share.
package call

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/logs"
)

// Kind is the type of a call.
type Kind int

// The kinds of calls.
const (
	KindChat Kind = iota + 1
	KindService
	// KindRouted is a call whose target and terms follow from a published route.
	KindRouted
)

// Priority orders calls that queue for the same endpoints.
type Priority int

// Priorities, highest first. Urgent is for short calls such as confirmations and
// acknowledgements; reports tolerate delay.
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

// ParsePriority parses a name returned by String.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Call is one complete request of a caller.
type Call struct {
	// ID is the request's id, unique per arrival, used in timelines and responses.
	ID        string
	Workspace string
	Kind      Kind
	// Model or Service names the target.
	Model   string
	Service string
	// Method and Path are sent to the endpoint; Path includes the query.
	Method string
	Path   string
	// Header holds the headers that may be passed to the endpoint.
	Header http.Header
	// Body is the request body, unless it is in Retained. Payload returns either.
	Body       []byte
	Retained   *RetainedBody
	Stream     bool
	Idempotent bool
	Priority   Priority
	// Ticket is the caller's ticket for a non-idempotent call.
	Ticket string
	// FirstTokenDeadline and Deadline are the deadlines of the first token and the complete response.
	FirstTokenDeadline time.Time
	Deadline           time.Time
	// PromptTokens is an estimate; MaxTokens limits the generated tokens.
	PromptTokens int
	MaxTokens    int
	// PrefixHash identifies the prompt prefix for cache affinity; zero means none.
	PrefixHash uint64
	// Forwarded is set on a call from another VM, which is never forwarded again.
	Forwarded bool
	// ChargedRegion is the region that charged the call, set on calls overflowing from there.
	ChargedRegion string
	// Routed is set on calls of KindRouted only.
	Routed *Routed
	// Subjects are the call's content and the shared parts of its prompt, in this order;
	// empty until the call is served.
	Subjects     []Subject
	subjectStore [inlineSubjects]Subject
	// Trial is the quarantined subject whose call is let through to test whether it still
	// crashes endpoints; zero for none.
	Trial Subject
	// Log collects the call's log lines; it may be nil.
	Log *logs.RequestLog
}

// ContentHash hashes the workspace, host, method, path and body. Retries of a call
// have the same hash under different ids, on any VM. Deadlines, estimates and the
// resume position are excluded.
func (c *Call) ContentHash() Subject {
	var d xxhash.Digest
	d.Reset()
	host := ""
	if c.Routed != nil {
		host = c.Routed.Host
	}
	for _, part := range [...]string{c.Workspace, host, c.Method, c.Path} {
		// Writing to a Digest never fails.
		_, _ = d.WriteString(part)
		_, _ = d.Write(contentSeparator)
	}
	_, _ = d.Write(c.Payload())
	return Subject(d.Sum64()) &^ partBit
}

// contentSeparator occurs in no host, method or path.
var contentSeparator = []byte{0}

// Target returns the name of the model or service.
func (c *Call) Target() string {
	if c.Kind == KindChat {
		return c.Model
	}
	return c.Service
}

// Usage is a call's token usage.
type Usage struct {
	PromptTokens    int `json:"prompt_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	GeneratedTokens int `json:"generated_tokens"`
}
