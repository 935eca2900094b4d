// Package caller is a stand-in for the callers of the gateway. It follows the
// answers that the gateway gives: it uses the entry VMs named to it, comes back
// when a refusal says so, and repeats a call only where that is safe.
package caller

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
)

// defaultMaxTries bounds the tries of one call where Options leave it open.
const defaultMaxTries = 8

// Options set up a Caller.
type Options struct {
	// VMs are "ip:port" of the caller fronts to ask for entries; at least one.
	VMs []string
	// Direct uses VMs as they are given, without asking which to use.
	Direct bool
	// Key is "<workspace>.<secret>".
	Key string
	// Client is shared by many callers to share its connections; nil makes one.
	// It must not time out by itself and must know Expect: 100-continue, as
	// NewClient's does.
	Client *http.Client
	// MaxTries bounds the tries of one call; zero means 8, one forbids retries.
	MaxTries int
}

// Caller sends calls with one workspace's key. It is safe for concurrent use.
type Caller struct {
	options  Options
	client   *http.Client
	entries  entryCache
	askedVMs atomic.Uint64
}

// New makes a caller that has asked for nothing yet.
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

// Chat sends a chat completion. A stream that broke is not repeated.
func (c *Caller) Chat(ctx context.Context, chat Chat) Result {
	q, err := chat.request()
	if err != nil {
		return Result{}.failed(err, false)
	}
	return c.follow(ctx, q)
}

// Service sends a call to a plain service.
func (c *Caller) Service(ctx context.Context, service Service) Result {
	return c.follow(ctx, service.request())
}
