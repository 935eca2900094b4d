// Package caller is the HTTP API for callers: chat completions, calls to plain
// services, tickets, and discovery of entry VMs.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/listen"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

// Paths of the API.
const (
	PathChat           = "/v1/chat/completions"
	PathEntries        = "/v1/entries"
	PathTickets        = "/v1/tickets"
	PathServicesPrefix = "/v1/services/"
)

// Options configure a Server. Every field is required.
type Options struct {
	VM    string
	Now   func() time.Time
	NewID func() string
	// Ready reports whether this VM has loaded a configuration.
	Ready    func() bool
	Snapshot func() *configuration.Snapshot
	View     func() *membership.View
	// Serve runs a call whose body was read and writes the response to sink.
	Serve func(ctx context.Context, c *call.Call, place serving.Placement, sink call.Sink) call.Outcome
	// IssueTicket issues a ticket whose executor is this VM.
	IssueTicket func(workspace string, goodUntil time.Time) string
	// Stopping reports whether this VM is draining.
	Stopping func() bool
	Limits   Limits
}

// Limits limit the resources that callers may use.
type Limits struct {
	MaxBodyBytes             int
	MaxHeaderBytes           int
	MaxConnections           int
	MaxConnectionsPerAddress int
	HeaderTimeout            time.Duration
	BodyTimeout              time.Duration
	IdleTimeout              time.Duration
	// WriteTimeout is the timeout of a single write.
	WriteTimeout time.Duration
	TicketTTL    time.Duration
	EntriesTTL   time.Duration
}

// Server serves the caller API.
type Server struct {
	options  Options
	http     *http.Server
	listener atomic.Pointer[listen.StoppableListener]
}

// New returns a Server; call Serve to accept connections.
func New(o Options) *Server {
	s := &Server{
		options: o,
	}
	s.http = &http.Server{
		Handler:           s.mux(),
		ReadHeaderTimeout: o.Limits.HeaderTimeout,
		IdleTimeout:       o.Limits.IdleTimeout,
		MaxHeaderBytes:    o.Limits.MaxHeaderBytes,
	}
	return s
}

func (s *Server) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChat, s.authenticated(s.handleChat))
	mux.HandleFunc("GET "+PathEntries, s.authenticated(s.handleEntries))
	mux.HandleFunc("POST "+PathTickets, s.authenticated(s.handleTickets))
	mux.HandleFunc(PathServicesPrefix+"{service}/{path...}", s.authenticated(s.handleService))
	mux.HandleFunc("/", s.handleUnknownRoute)
	return mux
}

// Serve accepts connections on ln until Shutdown or Close. Connections over
// the configured limits are closed immediately.
func (s *Server) Serve(ln net.Listener) error {
	stoppable := listen.NewStoppableListener(ln)
	s.http.ConnState = stoppable.OnState
	s.listener.Store(stoppable)
	return s.http.Serve(listen.New(stoppable, listen.Options{
		Max:           s.options.Limits.MaxConnections,
		MaxPerAddress: s.options.Limits.MaxConnectionsPerAddress,
	}))
}

// Shutdown stops accepting connections and waits for calls in flight until ctx
// is done. Requests that have arrived are answered.
func (s *Server) Shutdown(ctx context.Context) error {
	ln := s.listener.Load()
	if ln == nil {
		return s.http.Shutdown(ctx)
	}
	err := ln.Stop()
	ln.EndIdle()
	for ln.OpenConns() > 0 {
		worker.SleepUntil(ctx, time.Now(), time.Now().Add(shutdownPollInterval))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return err
}

// shutdownPollInterval is the interval of checks for open connections.
const shutdownPollInterval = 20 * time.Millisecond

// Close closes every connection immediately.
func (s *Server) Close() error {
	return s.http.Close()
}
