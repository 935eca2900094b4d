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

// The largest value and the largest list that the platform holds, in bytes.
const (
	maxValue = 1 << 20
	maxList  = 64 << 20
)

// headerIfRevision makes a write depend on the revision it replaces.
const headerIfRevision = "If-Revision"

// errBadRequest marks a request that is not of the protocol.
var errBadRequest = errors.New("bad request")

// written answers a write.
type written struct {
	Revision uint64 `json:"revision"`
}

// failure answers a call that failed. Revision is set on a conflict.
type failure struct {
	Error    string `json:"error"`
	Revision uint64 `json:"revision,omitempty"`
}

// Handler serves the protocol under /v1/ and the switches under /admin/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/watch", p.serveWatch)
	mux.HandleFunc("GET /v1/values/{key...}", p.serveGet)
	mux.HandleFunc("GET /v1/vms", p.serveList)
	mux.HandleFunc("PUT /v1/values/{key...}", p.servePut)
	mux.HandleFunc("PUT /v1/vms", p.servePutList)
	mux.HandleFunc("PUT /admin/switches", p.servePutSwitches)
	mux.HandleFunc("GET /admin/switches", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, p.Switches())
	})
	mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, p.Counters())
	})
	return mux
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, until, err := watchQuery(r)
	if err != nil {
		fail(w, err, 0)
		return
	}
	changes, err := p.Watch(r.Context(), after, until)
	if err != nil {
		fail(w, err, 0)
		return
	}
	answer(w, changes)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	after, until, err := watchQuery(r)
	if err != nil {
		fail(w, err, 0)
		return
	}
	list, err := p.WatchList(r.Context(), after, until)
	switch {
	case err != nil:
		fail(w, err, 0)
	case list == nil:
		w.WriteHeader(http.StatusNoContent)
	default:
		answer(w, list)
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	value, err := p.Get(r.PathValue("key"))
	if err != nil {
		fail(w, err, 0)
		return
	}
	answer(w, value)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	body, ifRevision, err := p.readWrite(w, r, maxValue)
	if err == nil && (r.PathValue("key") == "" || !utf8.Valid(body)) {
		err = errBadRequest
	}
	if err != nil {
		fail(w, err, 0)
		return
	}
	revision, err := p.Put(r.PathValue("key"), string(body), ifRevision)
	answerWrite(w, revision, err)
}

func (p *Platform) servePutList(w http.ResponseWriter, r *http.Request) {
	body, ifRevision, err := p.readWrite(w, r, maxList)
	var list fleet.List
	if err == nil && json.Unmarshal(body, &list) != nil {
		err = errBadRequest
	}
	if err != nil {
		fail(w, err, 0)
		return
	}
	revision, err := p.PutList(list, ifRevision)
	answerWrite(w, revision, err)
}

func (p *Platform) servePutSwitches(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if decoder.Decode(&switches) != nil {
		fail(w, errBadRequest, 0)
		return
	}
	p.SetSwitches(switches)
	answer(w, switches)
}

// readWrite reads an operator's write. Writes are not counted as reads.
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

// watchQuery reads after, a revision, and until, in Unix milliseconds. Without
// until a watch answers at once.
func watchQuery(r *http.Request) (after uint64, until time.Time, err error) {
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

func answer(w http.ResponseWriter, body any) {
	answerStatus(w, http.StatusOK, body)
}

func answerWrite(w http.ResponseWriter, revision uint64, err error) {
	if err != nil {
		fail(w, err, revision)
		return
	}
	answer(w, written{
		Revision: revision,
	})
}

func answerStatus(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// fail answers an error with its status. An ended ctx means that the platform stops.
func fail(w http.ResponseWriter, err error, revision uint64) {
	status := http.StatusServiceUnavailable
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, ErrRate):
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
	answerStatus(w, status, failure{
		Error:    err.Error(),
		Revision: revision,
	})
}
