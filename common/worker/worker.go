// Package worker adds goroutines with a shared lifetime to run groups.
package worker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/run"
)

// Add adds a goroutine whose context is cancelled when the group stops.
func Add(group *run.Group, work func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		return work(ctx)
	}, func(error) {
		cancel()
	})
}

// AddShutdown adds a goroutine that calls stop when ctx ends, and then ends the group.
// It closes stopped afterwards, also if the group ends for another reason.
func AddShutdown(ctx context.Context, group *run.Group, stopped chan<- struct{}, stop func()) {
	aborted, abort := context.WithCancel(context.Background())
	group.Add(func() error {
		defer close(stopped)
		select {
		case <-ctx.Done():
			stop()
		case <-aborted.Done():
		}
		return nil
	}, func(error) {
		abort()
	})
}

// AddHTTP adds an HTTP server. After a graceful shutdown it waits until stopped is
// closed, so that the server does not end the group before then.
func AddHTTP(group *run.Group, stopped <-chan struct{}, serve, closeAll func() error) {
	group.Add(func() error {
		err := serve()
		if errors.Is(err, http.ErrServerClosed) {
			<-stopped
			return nil
		}
		return err
	}, func(error) {
		_ = closeAll()
	})
}

// SleepUntil blocks until a time, or until ctx ends.
func SleepUntil(ctx context.Context, now, at time.Time) {
	timer := time.NewTimer(at.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
