package throttle

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// maxCallerRetryDelay bounds the retry time of refused callers, which do not wait
// longer.
const maxCallerRetryDelay = 10 * time.Second

// Permit allows one request to an endpoint.
type Permit struct {
	// Until is when the permit expires; zero for an endpoint without a limit.
	Until time.Time
	used  bool
}

// UsePermit uses a permit right before the first byte of the request is written. It
// refuses a request whose permit has expired, that is sent again without a new permit, or
// whose endpoint has asked this VM for a rest since.
func (t *Throttle) UsePermit(e fleet.Endpoint, p *Permit, now time.Time) *result.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := t.restsUntil(e, now); !until.IsZero() {
		return result.Refuse(result.LimitEndpoint, "the endpoint wants no requests from this VM now").WithRetryAt(until)
	}
	endpoint := t.endpoints[e.ID]
	if endpoint == nil || !endpoint.limit.appliesTo(e) {
		return nil
	}
	if p.used || now.After(p.Until) {
		return result.Refuse(result.LimitEndpoint, "the endpoint takes %g requests a second, and this one is not permitted now", endpoint.limit.PerSecond)
	}
	p.used = true
	return nil
}

// CallerRetryAt returns when a caller may retry for which no permit is available. opensAt
// is when the first endpoint of the target accepts a request from this VM. Retry times
// are spaced at this VM's share of the endpoints' limits.
func (t *Throttle) CallerRetryAt(target string, endpointIDs []string, opensAt time.Time, r RegionView, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond := 0.0
	for _, id := range endpointIDs {
		if endpoint := t.endpoints[id]; endpoint != nil && endpoint.limit.Active {
			perSecond += max(endpoint.limit.PerSecond, minPerSecond)
		}
	}
	if latest := now.Add(maxCallerRetryDelay); perSecond == 0 && opensAt.After(latest) {
		return latest
	}
	if perSecond == 0 {
		return opensAt
	}
	schedule := t.callerRetries[target]
	if schedule == nil {
		schedule = &retrySchedule{}
		t.callerRetries[target] = schedule
	}
	return schedule.next(opensAt, interval(perSecond/float64(max(len(r.Reachable), 1))), now.Add(maxCallerRetryDelay))
}

// maxProbeShare is the share of an endpoint's rate that load and health probes may use.
const maxProbeShare = 0.2

// ProbeDue reports whether a load and health probe of the given number of requests
// may be sent. Each request needs a permit besides.
func (t *Throttle) ProbeDue(e fleet.Endpoint, requests int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.endpoints[e.ID]
	if endpoint == nil || !endpoint.limit.appliesTo(e) {
		return true
	}
	if now.Before(endpoint.nextProbeAt) {
		return false
	}
	endpoint.nextProbeAt = now.Add(time.Duration(requests) * interval(maxProbeShare*max(endpoint.limit.PerSecond, minPerSecond)))
	return true
}
