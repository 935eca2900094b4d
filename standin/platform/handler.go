package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	maxValueBytes = 1 << 20
	maxListBytes  = 64 << 20
)

// headerIfRevision makes a write conditional on the current revision.
const headerIfRevision = "If-Revision"

var errBadRequest = errors.New("bad request")

// writeResponse is the response to a successful write.
type writeResponse struct {
	Revision uint64 `json:"revision"`
}

// errorResponse is the response to a failed request. Revision is set on a conflict.
type errorResponse struct {
	Error    string `json:"error"`
	Revision uint64 `json:"revision,omitempty"`
}

// Handler serves the platform's API under /v1/ and fault injection under /admin/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/watch", p.serveWatch)
	mux.HandleFunc("GET /v1/values/{key...}", p.serveGet)
	mux.HandleFunc("GET /v1/vms", p.serveList)
	mux.HandleFunc("PUT /v1/values/{key...}", p.servePut)
	mux.HandleFunc("PUT /v1/vms", p.servePutList)
	mux.HandleFunc("PUT /admin/switches", p.servePutSwitches)
	mux.HandleFunc("GET /admin/switches", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Switches())
	})
	mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Counters())
	})
	return mux
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, until, err := parseWatchQuery(r)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	changes, err := p.Watch(r.Context(), after, until)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	writeJSON(w, changes)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	after, until, err := parseWatchQuery(r)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	list, err := p.WatchList(r.Context(), after, until)
	switch {
	case err != nil:
		writeError(w, err, 0)
	case list == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		writeJSON(w, list)
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	value, err := p.Get(r.PathValue("key"))
	if err != nil {
		writeError(w, err, 0)
		return
	}
	writeJSON(w, value)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	body, ifRevision, err := p.readWrite(w, r, maxValueBytes)
	if err == nil && (r.PathValue("key") == "" || !utf8.Valid(body)) {
		err = errBadRequest
	}
	if err != nil {
		writeError(w, err, 0)
		return
	}
	revision, err := p.Put(r.PathValue("key"), string(body), ifRevision)
	writeRevision(w, revision, err)
}

func (p *Platform) servePutList(w http.ResponseWriter, r *http.Request) {
	body, ifRevision, err := p.readWrite(w, r, maxListBytes)
	var list fleet.List
	if err == nil && json.Unmarshal(body, &list) != nil {
		err = errBadRequest
	}
	if err != nil {
		writeError(w, err, 0)
		return
	}
	revision, err := p.PutList(list, ifRevision)
	writeRevision(w, revision, err)
}

func (p *Platform) servePutSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if decoder.Decode(&switches) != nil {
		writeError(w, errBadRequest, 0)
		return
	}
	p.SetSwitches(switches)
	writeJSON(w, switches)
}

// readWrite reads the body and the optional If-Revision header of a write.
func (p *Platform) readWrite(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *uint64, error) {
	if p.Switches().Outage {
		return nil, nil, ErrOutage
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, nil, err
	}
	text := r.Header.Get(headerIfRevision)
	if text == "" {
		return body, nil, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, nil, errBadRequest
	}
	return body, &revision, nil
}

// parseWatchQuery parses the parameters after, a revision, and until, in Unix
// milliseconds. A watch without until returns immediately.
func parseWatchQuery(r *http.Request) (after uint64, until time.Time, err error) {
	query := r.URL.Query()
	if text := query.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, time.Time{}, errBadRequest
		}
	}
	if text := query.Get("until"); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, time.Time{}, errBadRequest
		}
		until = time.UnixMilli(milliseconds)
	}
	return after, until, nil
}

func writeJSON(w http.ResponseWriter, body any) {
	writeJSONStatus(w, http.StatusOK, body)
}

func writeRevision(w http.ResponseWriter, revision uint64, err error) {
	if err != nil {
		writeError(w, err, revision)
		return
	}
	writeJSON(w, writeResponse{
		Revision: revision,
	})
}

func writeJSONStatus(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// writeError maps an error to its status. The default, 503, covers a watch that
// shutdown interrupts.
func writeError(w http.ResponseWriter, err error, revision uint64) {
	status := http.StatusServiceUnavailable
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, ErrRateLimited):
		w.Header().Set("Retry-After", "1")
		status = http.StatusTooManyRequests
	case errors.Is(err, ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, errBadRequest):
		status = http.StatusBadRequest
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	writeJSONStatus(w, status, errorResponse{
		Error:    err.Error(),
		Revision: revision,
	})
}
