package fault

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/graceful"
)

const readHeaderTimeout = 10 * time.Second

// Serve serves on the listener until ctx ends, then shuts down gracefully.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	return graceful.Serve(ctx, listener, server)
}
