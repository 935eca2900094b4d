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

// settingsPollInterval is how often the settings file is read, as it may change without
// a SIGHUP.
const settingsPollInterval = 2 * time.Second

// logFlushTimeout limits the time for writing buffered lines at exit.
const logFlushTimeout = 200 * time.Millisecond

func closeLogs(logWriter *logs.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	logWriter.Close(ctx)
}

// servePlatform serves the routes published by the platform until SIGTERM or SIGINT.
// SIGHUP reloads the platform's settings.
func servePlatform(file string, check bool, stdout, stderr io.Writer) int {
	deployment, refusal := platform.LoadDeployment()
	if refusal != nil {
		_, _ = fmt.Fprintf(stderr, "gateway: %v\n", refusal)
		return exitUsage
	}
	gatewaySettings, refusal := settings.LoadPlatform(file)
	if refusal != nil {
		_, _ = fmt.Fprintf(stderr, "gateway: %v\n", refusal)
		return exitUsage
	}
	if check {
		_, _ = fmt.Fprintln(stdout, "ok")
		return exitOK
	}
	// Registered before the start, as an unhandled SIGHUP ends the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	logWriter := logs.New(logs.Options{
		Output:      stdout,
		BufferLines: gatewaySettings.LogLines,
		Level:       parseLevel(gatewaySettings.LogLevel),
	})
	defer closeLogs(logWriter)
	logger := logWriter.Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n := site.New(site.Options{
		Deployment: deployment,
		Logger:     logger,
		Settings:   gatewaySettings,
		Dropped:    logWriter.Dropped,
	})
	go watchSettings(ctx, n, deployment, reloadSignals, logger)
	if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		logger.Error("failed", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// watchSettings reloads the settings when they change. If they are invalid it keeps the
// last valid ones.
func watchSettings(ctx context.Context, n *site.Node, current *platform.Deployment, reloadSignals <-chan os.Signal, logger *slog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		case <-ticker.C:
		}
		loaded, refusal := platform.LoadDeployment()
		if refusal != nil {
			logger.Error("reload_refused", "code", int(refusal.Code), "reason", refusal.Message)
			continue
		}
		if loaded.Digest == current.Digest {
			continue
		}
		current = loaded
		n.Reload(ctx, loaded)
	}
}
