// Command gateway serves calls on an entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/node"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	// logFormatJSON is the value of the setting LogFormat for JSON logs.
	logFormatJSON = "json"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("gateway", "The fuchsianotch gateway of one VM.")
	app.HelpFlag.Short('h')
	serve := app.Command("serve", "Serve callers, peers and operators until SIGTERM, then stop gracefully.")
	file := serve.Flag("settings", "Settings file, JSON with comments; with --platform it may be left out.").String()
	onPlatform := serve.Flag("platform", "Serve the routes of the platform whose settings file the environment names, instead of contracts.").Bool()
	check := serve.Flag("check", "Check the settings and exit.").Bool()
	app.UsageWriter(stdout)
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintf(stderr, "gateway: %v; see gateway --help\n", err)
		return exitUsage
	}
	if *onPlatform {
		return servePlatform(*file, *check, stdout, stderr)
	}
	if *file == "" {
		_, _ = fmt.Fprintln(stderr, "gateway: required flag --settings or --platform not provided, try --help")
		return exitUsage
	}
	loaded, refusal := settings.Load(*file)
	if refusal != nil {
		_, _ = fmt.Fprintf(stderr, "gateway: %v\n", refusal)
		return exitUsage
	}
	if *check {
		_, _ = fmt.Fprintf(stdout, "%s: ok\n", *file)
		return exitOK
	}
	return serveContracts(loaded, stderr)
}

func serveContracts(s *settings.Settings, stderr io.Writer) int {
	logger := newLogger(s, stderr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(node.Options{
		Settings: s,
		Logger:   logger,
	})
	if err != nil {
		logger.Error("failed", "error", err)
		return exitFailed
	}
	if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		logger.Error("failed", "error", err)
		return exitFailed
	}
	return exitOK
}

func newLogger(s *settings.Settings, to io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{
		Level: parseLevel(s.LogLevel),
	}
	if s.LogFormat == logFormatJSON {
		return slog.New(slog.NewJSONHandler(to, options))
	}
	return slog.New(slog.NewTextHandler(to, options))
}

// parseLevel parses a log level, which is valid because the settings were checked.
func parseLevel(name string) slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(name))
	return level
}
