// Package endpoint is a stand-in for a model engine. It batches continuously,
// keeps a bounded cache of prompt prefixes, honours priorities, resumes and
// cancels streams, reports its load with a lag, and takes faults by order.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// Options set up an Endpoint.
type Options struct {
	// ID is the endpoint's id and Model the model it serves.
	ID    string
	Model string
	// Slots is how many requests run at once.
	Slots int
	// Step is the time of one token in an empty batch.
	Step time.Duration
	// PrefillRate is prompt tokens per second.
	PrefillRate int
	// CacheBlocks bounds the prefix cache, in blocks of blockTokens tokens.
	CacheBlocks int
	// ReportLag is how far load reports and cache events lag behind.
	ReportLag time.Duration
	// Resumes reports whether the engine honours X-Resume-From.
	Resumes bool
}

// Defaults of Options.
const (
	defaultSlots       = 16
	defaultStep        = 5 * time.Millisecond
	defaultPrefillRate = 10000
	defaultCacheBlocks = 4096
)

// Endpoint is the stand-in. It is safe for concurrent use.
type Endpoint struct {
	options Options
	engine  *engine
	reports reports
	faults  fault.Switch
	runs    *fault.Runs
	seen    *fault.Seen
}

// New makes an engine without faults.
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
		runs:    fault.NewRuns(),
		seen:    fault.NewSeen(),
	}
	e.engine = newEngine(o, &e.faults, e.runs)
	return e
}

// Serve answers on the listener until ctx ends, and lets open requests end.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { e.engine.run(running) })
	group.Go(func() { e.reports.run(running, e.options.ReportLag, e.engine.load) })
	err := fault.Serve(ctx, listener, e.handler())
	stop()
	group.Wait()
	return err
}

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	mux.HandleFunc("PUT /admin/faults", e.faults.Put)
	mux.HandleFunc("GET /admin/runs", e.runs.Get)
	mux.HandleFunc("GET /admin/seen", e.seen.Get)
	return mux
}
