// Package fault contains what the fake endpoints share: fault injection, counters
// of runs by operation, and a log of request bodies.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
)

// Faults are the faults that PUT /admin/faults sets. The zero value injects none.
type Faults struct {
	// Slow is a delay before each chunk of a stream, or each part of a body.
	Slow contract.Duration `json:"slow"`
	// CutAfter closes the connection after this number of chunks, or bytes of a
	// service's body. If negative, the connection closes before the header.
	CutAfter int `json:"cut_after"`
	// Cross responds with another request's ID and content. Every second stream
	// starts with its own content and switches later.
	Cross bool `json:"cross"`
	// Refuse responds with 503 and a header that states that nothing ran.
	Refuse bool `json:"refuse"`
	// RefuseAfterRun runs the request and responds with 503 without that header.
	RefuseAfterRun bool `json:"refuse_after_run"`
	// IgnoreCancel continues to process a request after the client disconnects.
	IgnoreCancel bool `json:"ignore_cancel"`
	// Leaving marks responses and load reports as draining. Requests are still
	// served, so that a test can count those sent regardless.
	Leaving bool `json:"leaving"`
	// Freeze suspends all processing once, for this duration from when it is set.
	Freeze contract.Duration `json:"freeze"`
	// Late delays the header of each response.
	Late contract.Duration `json:"late"`
	// ReportIdle reports an idle engine regardless of the load.
	ReportIdle bool `json:"lie_load"`
	// Silent accepts requests and never responds.
	Silent bool `json:"silent"`
}

// Injector holds the active faults. It is safe for concurrent use.
type Injector struct {
	mu          sync.Mutex
	faults      Faults
	frozenUntil time.Time
	// leavingAt is when Leaving was last enabled.
	leavingAt time.Time
}

// Set replaces the active faults.
func (s *Injector) Set(f Faults, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Leaving && !s.faults.Leaving {
		s.leavingAt = now
	}
	s.faults = f
	if f.Freeze.Duration > 0 {
		s.frozenUntil = now.Add(f.Freeze.Duration)
	}
}

// Get returns the active faults.
func (s *Injector) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// LeavingAt returns when draining began, or the zero time if it has not.
func (s *Injector) LeavingAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Leaving {
		return time.Time{}
	}
	return s.leavingAt
}

// WaitWhileFrozen blocks while a freeze lasts.
func (s *Injector) WaitWhileFrozen() {
	for {
		s.mu.Lock()
		wait := time.Until(s.frozenUntil)
		s.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// ServePut serves PUT /admin/faults. It rejects unknown fields with 400.
func (s *Injector) ServePut(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// WriteJSON writes a value as a JSON response.
func WriteJSON[T any](w http.ResponseWriter, value T) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
