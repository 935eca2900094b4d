package throttle

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// startupDelay is how long a coordinator grants no permits after its start: when
	// hundreds of VMs start together, each considers itself the coordinator until it knows
	// the others.
	startupDelay = 2 * fleet.StartupPeriod
	// minPerSecond is the lowest rate at which requests are sent to an endpoint, since
	// only an answer shows that its limit has been raised or lifted.
	minPerSecond = 0.1
	// maxSavedDuration is the time for which unused tokens accumulate.
	maxSavedDuration = 250 * time.Millisecond
	// maxRetryDelay bounds how far ahead another VM is told to ask again.
	maxRetryDelay = 2 * time.Second
)

// Answer is the response to a VM that asked for a permit.
type Answer struct {
	// IsCoordinator is set if the VM is the coordinator of the endpoint.
	IsCoordinator bool
	Granted       bool
	// NextAt is when the VM may ask for the next permit.
	NextAt time.Time
	// Limit is the coordinator's limit if it differs from that of the request.
	Limit Limit
}

// HandleRequest decides on a permit for another VM, which sends the limit that it knows.
func (t *Throttle) HandleRequest(l Limit, r RegionView, now time.Time) Answer {
	t.Learn(l, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.census.Observe(len(r.Reachable), r.Known, now)
	endpoint := t.endpoints[l.Endpoint]
	if endpoint == nil || t.coordinator(l.Endpoint, r).ID != t.options.VM {
		return Answer{}
	}
	a := Answer{
		IsCoordinator: true,
		Granted:       true,
	}
	if endpoint.limit != l {
		a.Limit = endpoint.limit
	}
	if !endpoint.limit.Active {
		return a
	}
	a.Granted, a.NextAt = t.grant(endpoint, now)
	if !a.Granted {
		a.NextAt = endpoint.retries.next(a.NextAt, interval(t.permitRate(endpoint.limit, now)), now.Add(maxRetryDelay))
	}
	return a
}

// grant takes a token for one request and returns when the next one is available.
func (t *Throttle) grant(endpoint *limitedEndpoint, now time.Time) (granted bool, nextAt time.Time) {
	if settledAt := t.options.StartedAt.Add(startupDelay); now.Before(settledAt) {
		endpoint.bucket.refilledAt = now
		return false, settledAt
	}
	rate := t.permitRate(endpoint.limit, now)
	endpoint.bucket.refill(rate, now)
	granted = endpoint.bucket.take()
	return granted, endpoint.bucket.nextTokenAt(rate, now)
}

// permitRate is the rate at which this VM grants permits: the endpoint's rate times the
// share of the region's VMs that are reachable, as unreachable VMs may have a coordinator of
// their own.
func (t *Throttle) permitRate(l Limit, now time.Time) float64 {
	return max(l.PerSecond, minPerSecond) * t.census.ReachableShare(now)
}

// tokenBucket holds the requests that may be sent now.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens for the time since the last refill.
func (b *tokenBucket) refill(rate float64, now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, max(1, rate*maxSavedDuration.Seconds()))
}

func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// nextTokenAt is when the bucket holds a whole token.
func (b *tokenBucket) nextTokenAt(rate float64, now time.Time) time.Time {
	if b.tokens >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - b.tokens) * float64(interval(rate))))
}

// interval is the time between two requests.
func interval(rate float64) time.Duration {
	return time.Duration(math.Round(float64(time.Second) / rate))
}

// retrySchedule spaces out the retries of refused VMs or callers, so that they do not
// come back at the same time.
type retrySchedule struct {
	last time.Time
}

// next returns the next retry time between earliest and latest.
func (s *retrySchedule) next(earliest time.Time, spacing time.Duration, latest time.Time) time.Time {
	at := s.last.Add(spacing)
	if at.Before(earliest) {
		at = earliest
	}
	if at.After(latest) {
		at = latest
	}
	s.last = at
	if at.Before(earliest) {
		return earliest
	}
	return at
}
