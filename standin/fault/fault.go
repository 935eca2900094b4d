// Package fault holds what the stand-ins of endpoints share: the faults that a
// test switches on, the count of runs by operation, and the markers seen.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
)

// Faults are the faults that PUT /admin/faults sets. The zero value has none.
type Faults struct {
	// Slow is added before each chunk, or each piece of a body.
	Slow contract.Duration `json:"slow"`
	// CutAfter breaks the connection after so many chunks; a service after so
	// many bytes. Below zero it breaks before the head.
	CutAfter int `json:"cut_after"`
	// Cross answers with another request's id and content. Every second
	// crossed stream begins as its own and crosses over later.
	Cross bool `json:"cross"`
	// Refuse answers 503 with the mark that nothing ran.
	Refuse bool `json:"refuse"`
	// RefuseAfterRun runs the request and answers 503 without the mark.
	RefuseAfterRun bool `json:"refuse_after_run"`
	// IgnoreCancel goes on with a request whose connection is closed.
	IgnoreCancel bool `json:"ignore_cancel"`
	// Leaving marks answers and load reports; requests are still served, so
	// that a test can count what is sent in spite of it.
	Leaving bool `json:"leaving"`
	// Freeze stops everything for this long, once, as it is set.
	Freeze contract.Duration `json:"freeze"`
	// Late holds each answer back before its head.
	Late contract.Duration `json:"late"`
	// LieLoad reports no load at all.
	LieLoad bool `json:"lie_load"`
	// Silent takes requests and never answers.
	Silent bool `json:"silent"`
}

// Switch holds the faults in force. It is safe for concurrent use.
type Switch struct {
	mu       sync.Mutex
	faults   Faults
	frozenTo time.Time
	// leavingAt is when Leaving was last switched on.
	leavingAt time.Time
}

// Set puts faults in force.
func (s *Switch) Set(f Faults, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Leaving && !s.faults.Leaving {
		s.leavingAt = now
	}
	s.faults = f
	if f.Freeze.Duration > 0 {
		s.frozenTo = now.Add(f.Freeze.Duration)
	}
}

// Get returns the faults in force.
func (s *Switch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// LeavingAt is when the stand-in began to leave; zero if it isn't leaving.
func (s *Switch) LeavingAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Leaving {
		return time.Time{}
	}
	return s.leavingAt
}

// Thaw waits until a freeze is over.
func (s *Switch) Thaw() {
	for {
		s.mu.Lock()
		wait := time.Until(s.frozenTo)
		s.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// Put serves PUT /admin/faults. Unknown fields are refused with 400.
func (s *Switch) Put(w http.ResponseWriter, r *http.Request) {
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

// WriteJSON answers with a JSON value.
func WriteJSON[T any](w http.ResponseWriter, value T) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
