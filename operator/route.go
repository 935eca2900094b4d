package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// PathRoute is the path of the explanation of a request's route, on platforms with routes.
const PathRoute = "/v1/route"

// RouteQuery describes a request whose route is explained.
type RouteQuery struct {
	Host string
	Path string
	// Workspace is the workspace's name; empty for requests without a key.
	Workspace string
	// Region is the region in which the request arrives; empty means that of the VM.
	Region string
	// Service selects one of the services that share the route; empty means that of the
	// highest weight.
	Service string
	// PromptTokens and MaxTokens are the caller's counts, AnswerTokens its estimate of the
	// generated tokens; zero means that it states none.
	PromptTokens int
	MaxTokens    int
	AnswerTokens int
	// PromptParts are the parts of the prompt, as ID:TOKENS with commas between.
	PromptParts string
	// Version restricts the endpoints to one software version, as for a stream that is
	// resumed; empty means none.
	Version string
}

// Values returns the parameters of the HTTP request.
func (q RouteQuery) Values() url.Values {
	values := url.Values{}
	for name, field := range q.strings() {
		if *field != "" {
			values.Set(name, *field)
		}
	}
	for name, field := range q.numbers() {
		if *field != 0 {
			values.Set(name, strconv.Itoa(*field))
		}
	}
	return values
}

func (q *RouteQuery) strings() map[string]*string {
	return map[string]*string{
		"host":         &q.Host,
		"path":         &q.Path,
		"workspace":    &q.Workspace,
		"region":       &q.Region,
		"service":      &q.Service,
		"prompt_parts": &q.PromptParts,
		"version":      &q.Version,
	}
}

func (q *RouteQuery) numbers() map[string]*int {
	return map[string]*int{
		"prompt_tokens": &q.PromptTokens,
		"max_tokens":    &q.MaxTokens,
		"answer_tokens": &q.AnswerTokens,
	}
}

// RouteExplanation is the response of PathRoute. Durations are in milliseconds.
type RouteExplanation struct {
	VM      string `json:"vm"`
	Region  string `json:"region"`
	Version uint64 `json:"version"`
	// Draining is set if the VM accepts no new calls.
	Draining bool   `json:"draining,omitempty"`
	Route    Route  `json:"route"`
	Service  string `json:"service"`
	// Rank is the priority of the call, 0 the highest; Homes are the regions that may serve
	// it, empty for all.
	Rank  int      `json:"rank"`
	Homes []string `json:"homes,omitempty"`
	// FirstTokenMs and DeadlineMs are the times to the objective and to the deadline; zero means none.
	FirstTokenMs int64           `json:"first_token_ms,omitempty"`
	DeadlineMs   int64           `json:"deadline_ms,omitempty"`
	Endpoints    []RouteEndpoint `json:"endpoints"`
	Regions      []RouteRegion   `json:"regions"`
	Decision     RouteDecision   `json:"decision"`
}

// Route is the matching route.
type Route struct {
	Name     string         `json:"name"`
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Kind     string         `json:"kind"`
	Services []RouteService `json:"services"`
}

// RouteService is a service's share of a route.
type RouteService struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// RouteEndpoint is an endpoint of the VM's region. Estimates are zero for excluded ones.
type RouteEndpoint struct {
	ID string `json:"id"`
	// Excluded is "cold", "unreachable", "draining", "backoff", "paused", "version", "memory"
	// or empty; ExcludedMs is how long it is known to last.
	Excluded   string `json:"excluded,omitempty"`
	ExcludedMs int64  `json:"excluded_ms,omitempty"`
	// AlwaysConsidered is set if calls with this prompt consider the endpoint without drawing it.
	AlwaysConsidered bool  `json:"always_considered,omitempty"`
	QueueMs          int64 `json:"queue_ms"`
	FirstTokenMs     int64 `json:"first_token_ms"`
	EndMs            int64 `json:"end_ms"`
	TokenUs          int64 `json:"token_us"`
	TokensAhead      int   `json:"tokens_ahead"`
	PrefillTokens    int   `json:"prefill_tokens"`
	CachedTokens     int   `json:"cached_tokens"`
	// InFlight are this VM's calls, Running and Waiting those of all VMs in the last report;
	// ReportMs is its age, -1 without a report.
	InFlight int     `json:"in_flight"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	ReportMs int64   `json:"report_ms"`
	Slots    float64 `json:"slots"`
	Memory   float64 `json:"memory,omitempty"`
	// Endangered is the number of streams that would end late by the call's prompt.
	Endangered int     `json:"endangered,omitempty"`
	Score      float64 `json:"score"`
	// SlowStartCalls is the slow-start limit over all VMs, zero without one; AtSlowStartLimit
	// is set if this VM's part of it is in use.
	SlowStartCalls   float64 `json:"slow_start_calls,omitempty"`
	AtSlowStartLimit bool    `json:"at_slow_start_limit,omitempty"`
}

// RouteRegion is a region as the VM sees it.
type RouteRegion struct {
	Region string `json:"region"`
	// Excluded is "not_home", "no_vm", "version", "no_endpoint" or "disabled" by the
	// settings, or empty.
	Excluded string `json:"excluded,omitempty"`
	// Endpoints is the number of endpoints that accept calls.
	Endpoints    int   `json:"endpoints"`
	FirstTokenMs int64 `json:"first_token_ms"`
	EndMs        int64 `json:"end_ms"`
	RoundTripMs  int64 `json:"round_trip_ms"`
	// ReportMs is the age of the region's report; zero for the VM's own region.
	ReportMs int64 `json:"report_ms"`
}

// RouteDecision is where the request would go.
type RouteDecision struct {
	// Region serves the call; Endpoint is the best one there if it is the VM's own region.
	Region   string `json:"region,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Probe is set if the call would test an endpoint whose backoff has ended.
	Probe bool `json:"probe,omitempty"`
	// RandomCandidates is the number of endpoints that a call draws at random and considers
	// besides those marked AlwaysConsidered; zero if it considers all. The endpoint is then the
	// best of all, and a call may go to another one.
	RandomCandidates int `json:"random_candidates,omitempty"`
	// Late is set if the call would yield to calls that can still meet their objective.
	Late bool `json:"late,omitempty"`
	// RefusedFraction is the fraction of such calls that are refused now.
	RefusedFraction float64 `json:"refused_fraction"`
	// Code, Name and Reason are those of the refusal, empty if less than half are refused;
	// callers are told to retry within the range of RetryMs.
	Code    result.Code `json:"code,omitempty"`
	Name    string      `json:"name,omitempty"`
	Reason  string      `json:"reason,omitempty"`
	RetryMs []int64     `json:"retry_ms,omitempty"`
}

// NewRouteHandler returns the handler of PathRoute. The function must not change any state.
func NewRouteHandler(explain func(context.Context, RouteQuery) (*RouteExplanation, *result.Refusal)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRoute, func(w http.ResponseWriter, r *http.Request) {
		q, refusal := parseRouteQuery(r.URL.RawQuery)
		if refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		explanation, refusal := explain(r.Context(), q)
		if refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		writeJSON(w, http.StatusOK, explanation)
	})
	return mux
}

func parseRouteQuery(raw string) (q RouteQuery, refusal *result.Refusal) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, result.Refuse(result.BadRequest, "the query is malformed").WithCause(err)
	}
	texts, numbers := q.strings(), q.numbers()
	for name, params := range values {
		if len(params) != 1 {
			return q, result.Refuse(result.BadRequest, "%s: want it once", name)
		}
		text, number := texts[name], numbers[name]
		switch {
		case text != nil:
			*text = params[0]
		case number != nil:
			if *number, err = strconv.Atoi(params[0]); err != nil || *number < 0 {
				return q, result.Refuse(result.BadRequest, "%s: want a number, 0 or more", name).WithCause(err)
			}
		default:
			return q, result.Refuse(result.BadRequest, "%s: no such parameter", name)
		}
	}
	if q.Host == "" || q.Path == "" {
		return q, result.Refuse(result.BadRequest, "host and path are required")
	}
	return q, nil
}
