// Package service is a stand-in for a plain service. It counts each run by
// operation, so that a test sees doubled work, and takes the faults that fit.
package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

// Options set up a Service.
type Options struct {
	// ID is the endpoint's id, told in answers.
	ID string
	// Work is the time that each call takes.
	Work time.Duration
}

// Answer is the body of every answer.
type Answer struct {
	Endpoint  string `json:"endpoint"`
	Request   string `json:"request"`
	Operation string `json:"operation"`
	// Run is the number of this run of the operation, from 1.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Marker string `json:"marker,omitempty"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	options Options
	faults  fault.Switch
	runs    *fault.Runs
	seen    *fault.Seen

	mu   sync.Mutex
	last Answer
}

// New makes a service without faults.
func New(o Options) *Service {
	return &Service{
		options: o,
		runs:    fault.NewRuns(),
		seen:    fault.NewSeen(),
	}
}

// Serve answers on the listener until ctx ends.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	return fault.Serve(ctx, listener, s.Handler())
}

// Handler serves the admin paths, and every other path as a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/faults", s.faults.Put)
	mux.HandleFunc("GET /admin/runs", s.runs.Get)
	mux.HandleFunc("GET /admin/seen", s.seen.Get)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	s.faults.Thaw()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.seen.Add(body)
	f := s.faults.Get()
	id := r.Header.Get(fault.HeaderRequestID)
	w.Header().Set(fault.HeaderRequestID, id)
	if f.Leaving {
		w.Header().Set("X-Leaving", "true")
	}
	if f.Refuse {
		w.Header().Set("X-Run", "none")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := s.run(r, body, f)
	s.faults.Thaw()
	if f.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.RefuseAfterRun {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Cross {
		answer = s.cross(answer)
		w.Header().Set(fault.HeaderRequestID, answer.Request)
	}
	time.Sleep(f.Late.Duration)
	s.write(w, r, answer, f)
}

// run counts the call and works. A call that began runs to its end, also when
// the caller goes away.
func (s *Service) run(r *http.Request, body []byte, f fault.Faults) Answer {
	operation := fault.Operation(r.Header)
	n := s.runs.Begin(operation, f.Leaving)
	time.Sleep(s.options.Work)
	return Answer{
		Endpoint:  s.options.ID,
		Request:   r.Header.Get(fault.HeaderRequestID),
		Operation: operation,
		Run:       n,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Marker:    fault.Marker(body),
	}
}

// cross returns the answer of the call before, and keeps this one for the next.
func (s *Service) cross(own Answer) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.last
	s.last = own
	if other.Request == "" {
		other.Request = "other"
	}
	return other
}

func (s *Service) write(w http.ResponseWriter, r *http.Request, answer Answer, f fault.Faults) {
	data := encode(answer)
	if f.CutAfter < 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(http.StatusOK)
	if r.Method == http.MethodHead {
		return
	}
	if f.CutAfter > 0 {
		_, _ = w.Write(data[:min(f.CutAfter, len(data)-1)])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if f.Slow.Duration == 0 {
		_, _ = w.Write(data)
		return
	}
	half := len(data) / 2
	for _, part := range [][]byte{data[:half], data[half:]} {
		time.Sleep(f.Slow.Duration)
		_, _ = w.Write(part)
		_ = http.NewResponseController(w).Flush()
	}
}
