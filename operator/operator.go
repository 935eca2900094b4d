// Package operator is the HTTP front for operators: health, readiness, metrics,
// status and the time line. It changes nothing; operators change contracts.
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

// Options set up a Front. All fields are needed.
type Options struct {
	// Ready tells whether the VM takes calls.
	Ready func() bool
	// Status returns the VM's state now.
	Status func() Status
	// Events returns this VM's own events, oldest first.
	Events func(timeline.Query) []timeline.Event
	// Merged returns the events of all VMs reached, in causal order, and the ids of
	// those not reached.
	Merged func(context.Context, timeline.Query) (events []timeline.Event, unreached []string)
	// Metrics serves the metrics.
	Metrics http.Handler
}

// Front serves operators.
type Front struct {
	options Options
	mux     *http.ServeMux
}

// New makes a front with its own mux.
func New(o Options) *Front {
	f := &Front{
		options: o,
		mux:     http.NewServeMux(),
	}
	f.mux.HandleFunc("GET /healthz", f.health)
	f.mux.HandleFunc("GET /readyz", f.ready)
	f.mux.Handle("GET /metrics", o.Metrics)
	f.mux.HandleFunc("GET /v1/status", f.status)
	f.mux.HandleFunc("GET /v1/timeline", f.timeline)
	return f
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mux.ServeHTTP(w, r)
}

// health answers while the process runs.
func (f *Front) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Health{
		OK: true,
	})
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	h := Health{
		OK: f.options.Ready(),
	}
	if !h.OK {
		writeJSON(w, http.StatusServiceUnavailable, h)
		return
	}
	writeJSON(w, http.StatusOK, h)
}

func (f *Front) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.options.Status())
}

func (f *Front) timeline(w http.ResponseWriter, r *http.Request) {
	q, merge, refusal := parseQuery(r.URL.RawQuery)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	var out Timeline
	if merge {
		out.Events, out.Unreached = f.options.Merged(r.Context(), q)
	} else {
		out.Events = f.options.Events(q)
	}
	if out.Events == nil {
		out.Events = []timeline.Event{}
	}
	writeJSON(w, http.StatusOK, out)
}

// parseQuery reads the parameters of the time line. Unknown ones are refused,
// since a misspelt one would select everything.
func parseQuery(raw string) (q timeline.Query, merge bool, refusal *result.Refusal) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, false, result.Refuse(result.BadRequest, "the query is malformed").Because(err)
	}
	for name, given := range values {
		if len(given) != 1 {
			return q, false, result.Refuse(result.BadRequest, "%s: want it once", name)
		}
		switch value := given[0]; name {
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
			return q, false, result.Refuse(result.BadRequest, "%s: want a time in RFC 3339, or true or false", name).Because(err)
		}
	}
	return q, merge, nil
}

func writeRefusal(w http.ResponseWriter, r *result.Refusal) {
	info, _ := result.Lookup(r.Code)
	writeJSON(w, info.HTTPStatus, Failure{
		Error: FailureBody{
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
	// An error here is the operator's connection ending; there is no one to tell.
	_ = json.NewEncoder(w).Encode(v)
}
