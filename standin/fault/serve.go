package fault

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// stopWithin bounds how long Serve waits for open requests when it ends.
	stopWithin   = 30 * time.Second
	headerWithin = 10 * time.Second
)

// Serve answers on the listener until ctx ends, and then lets open requests end.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerWithin,
	}
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
