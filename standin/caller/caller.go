// Package caller is a client of the gateway for tests. It uses the entry VMs that
// the gateway names, waits as refusals demand, and retries a call only if that is
// safe.
package caller

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
)

const defaultMaxTries = 8

// Options configure a Caller.
type Options struct {
	// VMs are the addresses ("ip:port") of the VMs that serve the caller API; at
	// least one.
	VMs []string
	// Direct uses the VMs in the given order instead of requesting entries.
	Direct bool
	// Key is the API key, "<workspace>.<secret>".
	Key string
	// Client may be shared by callers to share its connections; nil creates one.
	// It must have no timeout and must support Expect: 100-continue, as one from
	// NewClient does.
	Client *http.Client
	// MaxTries bounds the attempts of one call; zero means 8, one disables retries.
	MaxTries int
}

// Caller sends calls with one API key. It is safe for concurrent use.
type Caller struct {
	options    Options
	client     *http.Client
	entries    entryCache
	fetchCount atomic.Uint64
}

// New returns a caller. It sends nothing before the first call.
func New(o Options) *Caller {
	o.MaxTries = cmp.Or(o.MaxTries, defaultMaxTries)
	client := o.Client
	if client == nil {
		client = NewClient()
	}
	return &Caller{
		options: o,
		client:  client,
		entries: newEntryCache(),
	}
}

// Chat sends a chat completion. It does not retry a broken stream.
func (c *Caller) Chat(ctx context.Context, chat Chat) Result {
	q, err := chat.request()
	if err != nil {
		return Result{}.withError(err, false)
	}
	return c.sendWithRetries(ctx, q)
}

// Service sends a call to a plain service.
func (c *Caller) Service(ctx context.Context, service Service) Result {
	return c.sendWithRetries(ctx, service.request())
}
