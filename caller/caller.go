// Package caller is the front that callers meet: chat completions, calls to
// plain services, and the question which VMs to use. It speaks HTTP.
package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/listen"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

// Paths of the caller front.
const (
	PathChat           = "/v1/chat/completions"
	PathEntries        = "/v1/entries"
	PathTickets        = "/v1/tickets"
	PathServicesPrefix = "/v1/services/"
)

// Options set up a Server. Every field is required.
type Options struct {
	VM    string
	Now   func() time.Time
	NewID func() string
	// Ready says that this VM has a configuration to serve by.
	Ready    func() bool
	Snapshot func() *configuration.Snapshot
	View     func() *membership.View
	// Serve carries a call that was read whole.
	Serve func(ctx context.Context, c *call.Call, place serving.Placement, sink call.Sink) call.Outcome
	// IssueTicket makes a ticket that this VM executes.
	IssueTicket func(workspace string, goodUntil time.Time) string
	// Stopping says that this VM takes no new callers.
	Stopping func() bool
	Bounds   Bounds
}

// Bounds are what one caller may cost. The durations are relative to events
// that have not happened yet; each becomes a deadline when its event comes.
type Bounds struct {
	MaxBodyBytes             int
	MaxHeaderBytes           int
	MaxConnections           int
	MaxConnectionsPerAddress int
	HeaderWithin             time.Duration
	BodyWithin               time.Duration
	IdleWithin               time.Duration
	// WriteWithin bounds one write to a slow caller.
	WriteWithin    time.Duration
	TicketGoodFor  time.Duration
	EntriesGoodFor time.Duration
}

// Server is the caller front.
type Server struct {
	options Options
	http    *http.Server
}

// New makes a server that does not listen yet.
func New(o Options) *Server {
	s := &Server{
		options: o,
	}
	s.http = &http.Server{
		Handler:           s.mux(),
		ReadHeaderTimeout: o.Bounds.HeaderWithin,
		IdleTimeout:       o.Bounds.IdleWithin,
		MaxHeaderBytes:    o.Bounds.MaxHeaderBytes,
	}
	return s
}

func (s *Server) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChat, s.authenticated(s.chat))
	mux.HandleFunc("GET "+PathEntries, s.authenticated(s.entries))
	mux.HandleFunc("POST "+PathTickets, s.authenticated(s.tickets))
	mux.HandleFunc(PathServicesPrefix+"{service}/{path...}", s.authenticated(s.service))
	mux.HandleFunc("/", s.unknownRoute)
	return mux
}

// Serve answers callers on ln until Shutdown. Connections over the bounds are
// closed at once.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(listen.New(ln, listen.Options{
		Max:           s.options.Bounds.MaxConnections,
		MaxPerAddress: s.options.Bounds.MaxConnectionsPerAddress,
	}))
}

// Shutdown stops accepting and waits for the calls in flight, at most until
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close ends every connection at once.
func (s *Server) Close() error {
	return s.http.Close()
}
