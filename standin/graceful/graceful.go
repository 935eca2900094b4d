// Package graceful serves HTTP until a context ends, and then lets the
// requests in flight end.
package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// stopWithin bounds the wait for requests in flight.
const stopWithin = 30 * time.Second

// Serve serves on the listener until ctx ends. It fails if the listener does,
// or if requests are still in flight when the wait is over.
func Serve(ctx context.Context, listener net.Listener, server *http.Server) error {
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWithin)
		defer cancel()
		stopped <- server.Shutdown(limit)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
