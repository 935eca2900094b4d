package platform

import (
	"context"
	"time"
)

// maxWait bounds the duration of one watch.
const maxWait = 60 * time.Second

// pollResult is the result of one check of the state.
type pollResult[T any] struct {
	answer T
	found  bool
	// nextCheck is when the result may change without a write; zero means never.
	nextCheck time.Time
}

// poll admits one read, then runs check until it finds something or the deadline
// passes. The state is locked during each check but not between checks.
func poll[T any](ctx context.Context, p *Platform, until time.Time, check func(now time.Time) pollResult[T]) (T, error) {
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
	p.limiter.addWaiting(now)
	defer func() { p.limiter.removeWaiting(time.Now()) }()
	for {
		if p.switches.Outage {
			return none, ErrOutage
		}
		now = time.Now()
		result := check(now)
		if result.found || !now.Before(until) {
			return result.answer, nil
		}
		if result.nextCheck.IsZero() || result.nextCheck.After(until) {
			result.nextCheck = until
		}
		if err := p.waitForChange(ctx, result.nextCheck); err != nil {
			return none, err
		}
	}
}

// waitForChange unlocks the state and waits for a change, a time or the end of ctx.
func (p *Platform) waitForChange(ctx context.Context, nextCheck time.Time) error {
	wake := p.wake
	p.mu.Unlock()
	defer p.mu.Lock()
	timer := time.NewTimer(time.Until(nextCheck))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
