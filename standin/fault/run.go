package fault

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// Headers that name an operation and an attempt.
const (
	HeaderRequestID = "X-Request-Id"
	headerOperation = "Idempotency-Key"
)

// Operation names what a request is to do: its idempotency key, or else its own id.
func Operation(header http.Header) string {
	if key := header.Get(headerOperation); key != "" {
		return key
	}
	return header.Get(HeaderRequestID)
}

// Report is the answer to GET /admin/runs.
type Report struct {
	// Runs counts by operation; more than one is doubled work.
	Runs map[string]int `json:"runs"`
	// FirstRuns are the times at which each operation's first run began.
	FirstRuns map[string]time.Time `json:"first_runs"`
	Total     int                  `json:"total"`
	// RunsLeaving counts the runs begun while leaving; LastLeaving is the last one's time.
	RunsLeaving int       `json:"runs_leaving"`
	LastLeaving time.Time `json:"last_leaving,omitzero"`
	// ColdPrefills counts runs whose prompt had nothing in the cache.
	ColdPrefills    int `json:"cold_prefills"`
	PromptTokens    int `json:"prompt_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	GeneratedTokens int `json:"generated_tokens"`
}

// Runs counts what ran. It is safe for concurrent use.
type Runs struct {
	mu     sync.Mutex
	report Report
}

// NewRuns makes an empty count.
func NewRuns() *Runs {
	return &Runs{
		report: Report{
			Runs:      make(map[string]int),
			FirstRuns: make(map[string]time.Time),
		},
	}
}

// Begin counts one run and gives its number for the operation, from 1.
func (r *Runs) Begin(operation string, isLeaving bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Runs[operation] == 0 {
		r.report.FirstRuns[operation] = time.Now()
	}
	r.report.Runs[operation]++
	r.report.Total++
	if isLeaving {
		r.report.RunsLeaving++
		r.report.LastLeaving = time.Now()
	}
	return r.report.Runs[operation]
}

// Prompt counts a prompt's tokens and those found in the cache.
func (r *Runs) Prompt(tokens, cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.PromptTokens += tokens
	r.report.CachedTokens += cached
	if cached == 0 {
		r.report.ColdPrefills++
	}
}

// Generated counts generated tokens.
func (r *Runs) Generated(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.GeneratedTokens += tokens
}

// Get serves GET /admin/runs.
func (r *Runs) Get(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, r.Report())
}

// Report copies the counts.
func (r *Runs) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Runs = maps.Clone(report.Runs)
	report.FirstRuns = maps.Clone(report.FirstRuns)
	return report
}
