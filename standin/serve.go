package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
)

// defaultListen lets the kernel choose the port, which the log line "listening"
// reports.
const defaultListen = "127.0.0.1:0"

// listenAndServe listens on the address, logs the bound address to stderr as one
// JSON line, and serves until SIGTERM or SIGINT. Signals are handled from before
// the line is logged, so that its reader may stop the process immediately.
func listenAndServe(address string, serve func(context.Context, net.Listener) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	log.Info("listening", slog.String("addr", listener.Addr().String()))
	return serve(ctx, listener)
}
