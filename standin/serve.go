package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
)

// defaultListen lets the kernel choose the port; the line "listening" tells it.
const defaultListen = "127.0.0.1:0"

// listenAndServe binds the address, logs the bound address to stderr as one JSON
// line, and serves until SIGTERM or SIGINT asks for a graceful end. Signals are
// caught before the line is written, so a reader of it may stop the process at once.
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
