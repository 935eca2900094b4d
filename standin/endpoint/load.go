package endpoint

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// loadReport is the response to GET /v1/load.
type loadReport struct {
	At              time.Time `json:"at"`
	Slots           int       `json:"slots"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	QueuedTokens    int       `json:"queued_tokens"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	Leaving         bool      `json:"leaving"`

	// generated is the total number of tokens, from which the rate is computed.
	generated int
}

// laggingReports publishes the load as it was between half a lag and a lag ago.
type laggingReports struct {
	mu        sync.Mutex
	published loadReport
	current   loadReport
}

// run samples the load twice per lag until ctx ends.
func (r *laggingReports) run(ctx context.Context, lag time.Duration, sample func() loadReport) {
	every := max(lag/2, time.Millisecond)
	r.push(sample())
	r.push(sample())
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.push(sample())
		}
	}
}

func (r *laggingReports) push(l loadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if past := l.At.Sub(r.current.At).Seconds(); past > 0 {
		l.TokensPerSecond = float64(l.generated-r.current.generated) / past
	}
	r.published = r.current
	r.current = l
}

func (r *laggingReports) get() loadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published
}

// loadReport returns the published load, altered by faults.
func (e *Endpoint) loadReport(f fault.Faults) loadReport {
	l := e.reports.get()
	l.Slots = e.options.Slots
	if f.ReportIdle {
		l = loadReport{
			At:    time.Now(),
			Slots: e.options.Slots,
		}
	}
	l.Leaving = f.Leaving
	return l
}

func (e *Endpoint) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.faults.WaitWhileFrozen()
	f := e.faults.Get()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	fault.WriteJSON(w, e.loadReport(f))
}

func (e *Endpoint) setLoadHeaders(header http.Header, f fault.Faults) {
	l := e.loadReport(f)
	header.Set("X-Load-Running", strconv.Itoa(l.Running))
	header.Set("X-Load-Waiting", strconv.Itoa(l.Waiting))
	header.Set("X-Load-Slots", strconv.Itoa(l.Slots))
	if l.Leaving {
		header.Set("X-Leaving", "true")
	}
}

// CacheEvents is the response to GET /v1/cache_events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

func (e *Endpoint) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	e.faults.WaitWhileFrozen()
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		http.Error(w, "after is no number", http.StatusBadRequest)
		return
	}
	until := time.Now().Add(-e.options.ReportLag)
	e.engine.mu.Lock()
	events := e.engine.cache.eventsBetween(after, until)
	e.engine.mu.Unlock()
	fault.WriteJSON(w, CacheEvents{Events: events})
}
