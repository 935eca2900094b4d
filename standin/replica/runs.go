package replica

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// TokensPerEvent is the number of tokens in one event of a stream, the Stride of a service.
	TokensPerEvent = 11
	// defaultPromptTokens is the length of a prompt whose request states none.
	defaultPromptTokens = 1000
	// cacheTokens is the size of the replica's memory.
	cacheTokens = 300_000
)

// activeRun is a request that holds a slot.
type activeRun struct {
	id           string
	promptTokens int
	events       int
	priority     int
}

// tokens is the memory that the run holds.
func (a *activeRun) tokens() int {
	return a.promptTokens + TokensPerEvent*a.events
}

// reportedRun is a run in a load report: id, tokens in memory, events emitted and priority.
type reportedRun [4]any

// loadReport is the response of /report.
type loadReport struct {
	Stage   string
	State   string
	Queued  int
	Next    int
	Active  int
	Runs    []reportedRun
	KvUsed  int
	KvTotal int
	Born    int64 `json:"born"`
}

// startRun gives a request a slot.
func (r *Replica) startRun(req *http.Request, id string) *activeRun {
	run := &activeRun{
		id:           id,
		promptTokens: defaultPromptTokens,
	}
	prompt, _, _ := strings.Cut(req.Header.Get(headerTokens), ",")
	if n, err := strconv.Atoi(strings.TrimSpace(prompt)); err == nil && n > 0 {
		run.promptTokens = n
	}
	run.priority, _ = strconv.Atoi(req.Header.Get(headerPriority))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return run
}

func (r *Replica) endRun(run *activeRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.OnEnd != nil {
		r.OnEnd(run.id, time.Now())
	}
	r.runs = slices.DeleteFunc(r.runs, func(other *activeRun) bool { return other == run })
}

// countEvent counts an event that a run emitted.
func (r *Replica) countEvent(run *activeRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.events++
}

// serveReport writes the load report. Runs are listed from their first event on.
func (r *Replica) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := loadReport{
		Stage:   "hybrid",
		State:   "ready",
		Active:  len(r.runs),
		Runs:    []reportedRun{},
		KvTotal: cacheTokens,
		Born:    r.StartedAtMillis,
	}
	if r.leaving {
		report.State = "draining"
	}
	for _, run := range r.runs {
		report.KvUsed += run.tokens()
		if run.events > 0 {
			report.Runs = append(report.Runs, reportedRun{run.id, run.tokens(), run.events, run.priority})
		}
	}
	// A failed write means that the connection is closed.
	_ = json.NewEncoder(w).Encode(report)
}
