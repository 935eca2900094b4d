// Package operator is the read-only HTTP API for operators: health, readiness,
// metrics, status and the timeline.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// Options configure a Handler. Every field is required.
type Options struct {
	// Ready reports whether the VM accepts calls.
	Ready func() bool
	// Status returns the VM's current state.
	Status func() Status
	// Events returns this VM's own events, oldest first.
	Events func(timeline.Query) []timeline.Event
	// MergedEvents returns the events of all reachable VMs in causal order, and the
	// IDs of the unreachable ones.
	MergedEvents func(context.Context, timeline.Query) (events []timeline.Event, unreached []string)
	// Metrics serves the metrics to the scraper.
	Metrics http.Handler
}

// Handler serves the operator API.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns a Handler with all routes registered.
func New(o Options) *Handler {
	h := &Handler{
		options: o,
		mux:     http.NewServeMux(),
	}
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.Handle("GET /metrics", o.Metrics)
	h.mux.HandleFunc("GET /v1/status", h.status)
	h.mux.HandleFunc("GET /v1/timeline", h.timeline)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// health reports liveness: it succeeds as long as the process serves HTTP.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Health{
		OK: true,
	})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	health := Health{
		OK: h.options.Ready(),
	}
	if !health.OK {
		writeJSON(w, http.StatusServiceUnavailable, health)
		return
	}
	writeJSON(w, http.StatusOK, health)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.options.Status())
}

func (h *Handler) timeline(w http.ResponseWriter, r *http.Request) {
	q, merge, refusal := parseQuery(r.URL.RawQuery)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	var response Timeline
	if merge {
		response.Events, response.Unreachable = h.options.MergedEvents(r.Context(), q)
	} else {
		response.Events = h.options.Events(q)
	}
	if response.Events == nil {
		response.Events = []timeline.Event{}
	}
	writeJSON(w, http.StatusOK, response)
}

// parseQuery parses the parameters of /v1/timeline. Unknown parameters are
// rejected, since a misspelled filter would select all events.
func parseQuery(raw string) (q timeline.Query, merge bool, refusal *result.Refusal) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, false, result.Refuse(result.BadRequest, "the query is malformed").WithCause(err)
	}
	for name, params := range values {
		if len(params) != 1 {
			return q, false, result.Refuse(result.BadRequest, "%s: want it once", name)
		}
		switch value := params[0]; name {
		case "request":
			q.Request = value
		case "workspace":
			q.Workspace = value
		case "from":
			q.From, err = time.Parse(time.RFC3339, value)
		case "to":
			q.To, err = time.Parse(time.RFC3339, value)
		case "merge":
			merge, err = strconv.ParseBool(value)
		default:
			return q, false, result.Refuse(result.BadRequest, "%s: no such parameter; there are request, workspace, from, to and merge", name)
		}
		if err != nil {
			return q, false, result.Refuse(result.BadRequest, "%s: want a time in RFC 3339, or true or false", name).WithCause(err)
		}
	}
	return q, merge, nil
}

func writeRefusal(w http.ResponseWriter, r *result.Refusal) {
	info, _ := result.Lookup(r.Code)
	writeJSON(w, info.HTTPStatus, ErrorResponse{
		Error: Error{
			Code:    r.Code,
			Name:    info.Name,
			Class:   info.Class,
			Message: r.Message,
		},
	})
}

func writeJSON[T any](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A failed write means that the connection is closed.
	_ = json.NewEncoder(w).Encode(v)
}
