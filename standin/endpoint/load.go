package endpoint

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// load is the answer to GET /v1/load.
type load struct {
	At              time.Time `json:"at"`
	Slots           int       `json:"slots"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	QueuedTokens    int       `json:"queued_tokens"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	Leaving         bool      `json:"leaving"`

	// generated counts all tokens so far, for the rate.
	generated int
}

// reports shows the load as it was one to two half lags ago.
type reports struct {
	mu      sync.Mutex
	shown   load
	current load
}

// run takes the load twice a lag until ctx ends.
func (r *reports) run(ctx context.Context, lag time.Duration, take func() load) {
	every := max(lag/2, time.Millisecond)
	r.push(take())
	r.push(take())
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.push(take())
		}
	}
}

func (r *reports) push(l load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if past := l.At.Sub(r.current.At).Seconds(); past > 0 {
		l.TokensPerSecond = float64(l.generated-r.current.generated) / past
	}
	r.shown = r.current
	r.current = l
}

func (r *reports) get() load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shown
}

// report returns the lagging load, or what a fault makes of it.
func (e *Endpoint) report(f fault.Faults) load {
	l := e.reports.get()
	l.Slots = e.options.Slots
	if f.LieLoad {
		l = load{
			At:    time.Now(),
			Slots: e.options.Slots,
		}
	}
	l.Leaving = f.Leaving
	return l
}

func (e *Endpoint) load(w http.ResponseWriter, r *http.Request) {
	e.faults.Thaw()
	f := e.faults.Get()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	fault.WriteJSON(w, e.report(f))
}

func (e *Endpoint) setLoadHeaders(header http.Header, f fault.Faults) {
	l := e.report(f)
	header.Set("X-Load-Running", strconv.Itoa(l.Running))
	header.Set("X-Load-Waiting", strconv.Itoa(l.Waiting))
	header.Set("X-Load-Slots", strconv.Itoa(l.Slots))
	if l.Leaving {
		header.Set("X-Leaving", "true")
	}
}

// CacheEvents is the answer to GET /v1/cache_events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

func (e *Endpoint) cacheEvents(w http.ResponseWriter, r *http.Request) {
	e.faults.Thaw()
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		http.Error(w, "after is no number", http.StatusBadRequest)
		return
	}
	until := time.Now().Add(-e.options.ReportLag)
	e.engine.mu.Lock()
	events := e.engine.cache.after(after, until)
	e.engine.mu.Unlock()
	fault.WriteJSON(w, CacheEvents{Events: events})
}
