// Package endpoint is a fake model engine for tests. It implements continuous
// batching, an LRU prefix cache, priorities, resumption and cancellation of
// streams, delayed load reports, and fault injection.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// Options configure an Endpoint.
type Options struct {
	ID    string
	Model string
	// Slots is the maximum batch size.
	Slots int
	// Step is the time per token at a batch size near zero.
	Step time.Duration
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate int
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 tokens.
	CacheBlocks int
	// ReportLag is the delay of load reports and cache events.
	ReportLag time.Duration
	// Resumes reports whether the engine honours X-Resume-From.
	Resumes bool
}

// Defaults for zero Options.
const (
	defaultSlots       = 16
	defaultStep        = 5 * time.Millisecond
	defaultPrefillRate = 10000
	defaultCacheBlocks = 4096
)

// Endpoint is a fake engine. It is safe for concurrent use.
type Endpoint struct {
	options Options
	engine  *engine
	reports laggingReports
	faults  fault.Injector
	runs    *fault.RunCounter
	bodies  *fault.BodyLog
}

// New returns an engine without faults.
func New(o Options) *Endpoint {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Step <= 0 {
		o.Step = defaultStep
	}
	if o.PrefillRate <= 0 {
		o.PrefillRate = defaultPrefillRate
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	e := &Endpoint{
		options: o,
		runs:    fault.NewRunCounter(),
		bodies:  fault.NewBodyLog(),
	}
	e.engine = newEngine(o, &e.faults, e.runs)
	return e
}

// Serve serves on the listener until ctx ends, then shuts down gracefully.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { e.engine.run(running) })
	group.Go(func() { e.reports.run(running, e.options.ReportLag, e.engine.currentLoad) })
	err := fault.Serve(ctx, listener, e.handler())
	stop()
	group.Wait()
	return err
}

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	mux.HandleFunc("PUT /admin/faults", e.faults.ServePut)
	mux.HandleFunc("GET /admin/runs", e.runs.ServeReport)
	mux.HandleFunc("GET /admin/seen", e.bodies.ServeContains)
	return mux
}
