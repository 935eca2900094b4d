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
	"time"

	"github.com/fuchsianotch/fuchsianotch/logs"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/site"
)

// settingsEvery is how often the settings file is looked at: it may change
// without a signal. One look reads about a kilobyte.
const settingsEvery = 2 * time.Second

// logsWithin bounds the writing of the last lines.
const logsWithin = 200 * time.Millisecond

func closeLogs(lines *logs.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), logsWithin)
	defer cancel()
	lines.Close(ctx)
}

// servePlatform serves the routes that the platform publishes, until it is
// stopped. SIGHUP makes it read its settings again at once.
func servePlatform(file string, check bool, stdout, stderr io.Writer) int {
	deployment, refusal := platform.LoadDeployment()
	if refusal != nil {
		_, _ = fmt.Fprintf(stderr, "gateway: %v\n", refusal)
		return exitUsage
	}
	own, refusal := settings.LoadPlatform(file)
	if refusal != nil {
		_, _ = fmt.Fprintf(stderr, "gateway: %v\n", refusal)
		return exitUsage
	}
	if check {
		_, _ = fmt.Fprintln(stdout, "ok")
		return exitOK
	}
	// Taken first, so that an early signal does not end the process.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	lines := logs.New(logs.Options{
		To:    stdout,
		Lines: own.LogLines,
		Level: levelOf(own.LogLevel),
	})
	defer closeLogs(lines)
	logger := lines.Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n := site.New(site.Options{
		Deployment: deployment,
		Logger:     logger,
		Settings:   own,
		Dropped:    lines.Dropped,
	})
	go followSettings(ctx, n, deployment, hangUps, logger)
	if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		logger.Error("failed", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// followSettings reloads the settings when they change, and keeps the last
// good ones when they cannot be read.
func followSettings(ctx context.Context, n *site.Node, held *platform.Deployment, hangUps <-chan os.Signal, logger *slog.Logger) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		case <-ticker.C:
		}
		loaded, refusal := platform.LoadDeployment()
		if refusal != nil {
			logger.Error("reload_refused", "code", int(refusal.Code), "reason", refusal.Message)
			continue
		}
		if loaded.Digest == held.Digest {
			continue
		}
		held = loaded
		n.Reload(ctx, loaded)
	}
}
