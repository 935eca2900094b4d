// Package worker adds goroutines to run groups that stop together.
package worker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/run"
)

// Add adds a goroutine that runs until the group stops.
func Add(group *run.Group, work func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		return work(ctx)
	}, func(error) {
		cancel()
	})
}

// AddStop adds the goroutine whose end stops the group: once ctx ends it calls
// stop and then closes gone. gone is closed too when the group ends by itself.
func AddStop(ctx context.Context, group *run.Group, gone chan<- struct{}, stop func()) {
	aborted, abort := context.WithCancel(context.Background())
	group.Add(func() error {
		defer close(gone)
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

// AddHTTP adds a server that listens already. One that is shut down in a planned
// stop ends only when gone is closed, so that the group goes on until then.
func AddHTTP(group *run.Group, gone <-chan struct{}, serve, closeAll func() error) {
	group.Add(func() error {
		err := serve()
		if errors.Is(err, http.ErrServerClosed) {
			<-gone
			return nil
		}
		return err
	}, func(error) {
		_ = closeAll()
	})
}

// SleepUntil waits for a moment or the end of ctx.
func SleepUntil(ctx context.Context, now, at time.Time) {
	timer := time.NewTimer(at.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
