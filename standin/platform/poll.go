package platform

import (
	"context"
	"time"
)

// maxWait bounds how long one watch may wait.
const maxWait = 60 * time.Second

// look is what one look at the state found.
type look[T any] struct {
	answer T
	found  bool
	// again is when a later look may find more without a change; zero means never.
	again time.Time
}

// poll admits one read and looks until something is found or the deadline
// passes. The state is locked during each look, never between looks.
func poll[T any](ctx context.Context, p *Platform, until time.Time, at func(now time.Time) look[T]) (T, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var none T
	now := time.Now()
	if err := p.admit(now); err != nil {
		return none, err
	}
	if limit := now.Add(maxWait); until.After(limit) {
		until = limit
	}
	p.rate.wait(now)
	defer func() { p.rate.leave(time.Now()) }()
	for {
		if p.switches.Outage {
			return none, ErrOutage
		}
		now = time.Now()
		seen := at(now)
		if seen.found || !now.Before(until) {
			return seen.answer, nil
		}
		if seen.again.IsZero() || seen.again.After(until) {
			seen.again = until
		}
		if err := p.pause(ctx, seen.again); err != nil {
			return none, err
		}
	}
}

// pause unlocks the state until a change, a time or the end of ctx.
func (p *Platform) pause(ctx context.Context, again time.Time) error {
	wake := p.wake
	p.mu.Unlock()
	defer p.mu.Lock()
	timer := time.NewTimer(time.Until(again))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
