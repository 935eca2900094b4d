package fault

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/graceful"
)

const headerWithin = 10 * time.Second

// Serve answers on the listener until ctx ends, and then lets open requests end.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerWithin,
	}
	return graceful.Serve(ctx, listener, server)
}
