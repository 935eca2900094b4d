// Package service is a fake plain service for tests. It counts the runs of each
// operation, so that tests detect duplicate execution, and supports the faults of
// package fault that apply to it.
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

// Options configure a Service.
type Options struct {
	// ID is the endpoint's ID, which answers contain.
	ID string
	// Work is the processing time of each call.
	Work time.Duration
}

// Answer is the body of a successful response.
type Answer struct {
	Endpoint  string `json:"endpoint"`
	Request   string `json:"request"`
	Operation string `json:"operation"`
	// Run counts the runs of the operation, from 1.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Marker string `json:"marker,omitempty"`
}

// Service is a fake plain service. It is safe for concurrent use.
type Service struct {
	options Options
	faults  fault.Injector
	runs    *fault.RunCounter
	bodies  *fault.BodyLog

	mu   sync.Mutex
	last Answer
}

// New returns a service without faults.
func New(o Options) *Service {
	return &Service{
		options: o,
		runs:    fault.NewRunCounter(),
		bodies:  fault.NewBodyLog(),
	}
}

// Serve serves on the listener until ctx ends, then shuts down gracefully.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	return fault.Serve(ctx, listener, s.Handler())
}

// Handler serves the admin and load paths, and treats every other path as a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/faults", s.faults.ServePut)
	mux.HandleFunc("GET /admin/runs", s.runs.ServeReport)
	mux.HandleFunc("GET /admin/seen", s.bodies.ServeContains)
	mux.HandleFunc("GET /v1/load", s.serveLoad)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.faults.WaitWhileFrozen()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.bodies.Add(body)
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
	s.faults.WaitWhileFrozen()
	if f.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.RefuseAfterRun {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Cross {
		answer = s.swapAnswer(answer)
		w.Header().Set(fault.HeaderRequestID, answer.Request)
	}
	time.Sleep(f.Late.Duration)
	s.writeAnswer(w, r, answer, f)
}

// run counts and processes the call. It continues if the caller disconnects.
func (s *Service) run(r *http.Request, body []byte, f fault.Faults) Answer {
	operation := fault.OperationKey(r.Header)
	n := s.runs.AddRun(operation, f.Leaving)
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

// swapAnswer returns the previous call's answer and stores this one for the next
// call, for the Cross fault.
func (s *Service) swapAnswer(own Answer) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.last
	s.last = own
	if other.Request == "" {
		other.Request = "other"
	}
	return other
}

func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, answer Answer, f fault.Faults) {
	data := marshalAnswer(answer)
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
