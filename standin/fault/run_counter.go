package fault

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// Headers that identify an attempt and its operation.
const (
	HeaderRequestID = "X-Request-Id"
	headerOperation = "Idempotency-Key"
)

// OperationKey returns the key that identifies a request's operation across
// attempts: the idempotency key or, without one, the request ID.
func OperationKey(header http.Header) string {
	if key := header.Get(headerOperation); key != "" {
		return key
	}
	return header.Get(HeaderRequestID)
}

// Report is the response to GET /admin/runs.
type Report struct {
	// Runs counts the runs of each operation; more than one is a duplicate.
	Runs map[string]int `json:"runs"`
	// FirstRuns holds the start time of each operation's first run.
	FirstRuns map[string]time.Time `json:"first_runs"`
	Total     int                  `json:"total"`
	// RunsLeaving counts the runs started while draining; LastLeaving is the start
	// time of the last.
	RunsLeaving int       `json:"runs_leaving"`
	LastLeaving time.Time `json:"last_leaving,omitzero"`
	// ColdPrefills counts runs without any cache hit.
	ColdPrefills    int `json:"cold_prefills"`
	PromptTokens    int `json:"prompt_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	GeneratedTokens int `json:"generated_tokens"`
}

// RunCounter counts the runs of an endpoint. It is safe for concurrent use.
type RunCounter struct {
	mu     sync.Mutex
	report Report
}

// NewRunCounter returns empty counters.
func NewRunCounter() *RunCounter {
	return &RunCounter{
		report: Report{
			Runs:      make(map[string]int),
			FirstRuns: make(map[string]time.Time),
		},
	}
}

// AddRun counts one run and returns its number within the operation, from 1.
func (r *RunCounter) AddRun(operation string, isLeaving bool) int {
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

// AddPromptTokens counts a prompt's tokens and its cached tokens.
func (r *RunCounter) AddPromptTokens(tokens, cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.PromptTokens += tokens
	r.report.CachedTokens += cached
	if cached == 0 {
		r.report.ColdPrefills++
	}
}

// AddGeneratedTokens counts generated tokens.
func (r *RunCounter) AddGeneratedTokens(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.GeneratedTokens += tokens
}

// ServeReport serves GET /admin/runs.
func (r *RunCounter) ServeReport(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, r.Report())
}

// Report returns a copy of the counters.
func (r *RunCounter) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Runs = maps.Clone(report.Runs)
	report.FirstRuns = maps.Clone(report.FirstRuns)
	return report
}
