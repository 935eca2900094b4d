// Package graceful serves HTTP until a context ends, then shuts down gracefully.
package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// shutdownTimeout bounds the wait for requests in flight.
const shutdownTimeout = 30 * time.Second

// Serve serves on the listener until ctx ends, then waits for requests in flight.
// It returns an error if the listener fails or the wait times out.
func Serve(ctx context.Context, listener net.Listener, server *http.Server) error {
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		stopped <- server.Shutdown(limit)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
