// Package throttle enforces what endpoints say in their answers about the requests that
// they accept: a rate limit, in requests per second from all VMs together, and a rest, a
// time in which they want no requests from the VM that they refused.
//
// An endpoint is reached only from its own region. For each endpoint one VM of the
// region, the coordinator, is chosen by rendezvous hashing and grants a permit for every
// request to it, whichever VM sends it. A limit that one VM learns from an answer is
// sent to all VMs of the region.
//
// The package imports no network and no clock. The methods of a Throttle are safe for
// concurrent use.
package throttle

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// permitLifetime covers a new connection and the retransmission of a lost packet.
	permitLifetime = time.Second
	// coordinatorBackoffDuration is how long a coordinator that did not answer is not asked
	// again.
	coordinatorBackoffDuration = 500 * time.Millisecond
	// noCoordinatorRetryDelay is the retry delay while the VMs disagree on the coordinator.
	noCoordinatorRetryDelay = 100 * time.Millisecond
	// unlistedRetention is how long the limit of an endpoint is kept after it is no
	// longer published. Published entries may expire during an outage of the store.
	unlistedRetention = time.Minute
)

// Options configures a Throttle.
type Options struct {
	VM string
	// StartedAt is the start of the process; which permits a previous process on this
	// VM granted is unknown.
	StartedAt time.Time
	// OnLimitChanged, if set, is called with each new limit.
	OnLimitChanged func(l Limit)
}

// RegionView is the membership of the local region as this VM knows it.
type RegionView struct {
	// Reachable are the reachable VMs, including this one.
	Reachable []fleet.VM
	// Known is the number of VMs that are not known to have left.
	Known int
}

// Throttle holds the limits known to one VM and grants permits for the endpoints that
// it keeps.
type Throttle struct {
	options Options

	mu        sync.Mutex
	census    fleet.SizeEstimate
	endpoints map[string]*limitedEndpoint
	// coordinatorBackoff holds the coordinators that did not answer, with the end of their
	// backoff.
	coordinatorBackoff map[string]time.Time
	// callerRetries are the retry times given to refused callers, by target.
	callerRetries map[string]*retrySchedule
	// rests are the times in which endpoints want no requests from this VM.
	rests map[string]rest
}

// limitedEndpoint is the state of an endpoint that has named a limit.
type limitedEndpoint struct {
	limit Limit
	// learnedAt is when this VM learned the limit, listedAt when the endpoint was last
	// published.
	learnedAt time.Time
	listedAt  time.Time
	// closedUntil is when the coordinator may grant this VM the next permit.
	closedUntil time.Time
	// bucket and retries are used if this VM is the coordinator.
	bucket  tokenBucket
	retries retrySchedule
	// nextProbeAt is when the next load and health probe is allowed.
	nextProbeAt time.Time
}

// New creates a Throttle without limits.
func New(o Options) *Throttle {
	if o.OnLimitChanged == nil {
		o.OnLimitChanged = func(Limit) {}
	}
	return &Throttle{
		options: o,
		census: fleet.SizeEstimate{
			StartedAt: o.StartedAt,
		},
		endpoints:          make(map[string]*limitedEndpoint),
		coordinatorBackoff: make(map[string]time.Time),
		callerRetries:      make(map[string]*retrySchedule),
		rests:              make(map[string]rest),
	}
}

// Verdict is the result of Acquire: a permit, a time to wait for, or the coordinator to ask.
type Verdict struct {
	// Permit is set if the request may be sent.
	Permit *Permit
	// RetryAt is when this VM may send the next request, if this one may not be sent.
	RetryAt time.Time
	// Coordinator is set if that VM has to be asked, with Limit. The lifetime of its permit
	// starts at AskedAt.
	Coordinator *fleet.VM
	Limit       Limit
	AskedAt     time.Time
}

// Acquire grants a permit for a request to an endpoint, refuses it, or names the coordinator to
// ask.
func (t *Throttle) Acquire(e fleet.Endpoint, r RegionView, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.census.Observe(len(r.Reachable), r.Known, now)
	if until := t.restsUntil(e, now); !until.IsZero() {
		return Verdict{
			RetryAt: until,
		}
	}
	endpoint := t.endpoints[e.ID]
	if endpoint == nil || !endpoint.limit.appliesTo(e) {
		return Verdict{
			Permit: &Permit{},
		}
	}
	coordinator := t.coordinator(e.ID, r)
	opensAt := endpoint.closedUntil
	if backoffUntil := t.coordinatorBackoff[coordinator.ID]; backoffUntil.After(opensAt) {
		opensAt = backoffUntil
	}
	if now.Before(opensAt) {
		return Verdict{
			RetryAt: opensAt,
		}
	}
	if coordinator.ID != t.options.VM {
		return Verdict{
			Coordinator: &coordinator,
			Limit:       endpoint.limit,
			AskedAt:     now,
		}
	}
	granted, nextAt := t.grant(endpoint, now)
	return endpoint.applyDecision(granted, nextAt, now, now)
}

// applyDecision records the coordinator's decision and turns it into a Verdict.
func (e *limitedEndpoint) applyDecision(granted bool, nextAt, askedAt, now time.Time) Verdict {
	if nextAt.After(now) {
		e.closedUntil = nextAt
	}
	if !granted {
		return Verdict{
			RetryAt: e.closedUntil,
		}
	}
	return Verdict{
		Permit: &Permit{
			Until: askedAt.Add(permitLifetime),
		},
	}
}

// HandleAnswer processes the answer of the coordinator that a verdict named.
func (t *Throttle) HandleAnswer(v Verdict, a Answer, now time.Time) Verdict {
	t.Learn(a.Limit, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.coordinatorBackoff, v.Coordinator.ID)
	endpoint := t.endpoints[v.Limit.Endpoint]
	switch {
	case endpoint == nil || !endpoint.limit.Active:
		return Verdict{
			Permit: &Permit{},
		}
	case !a.IsCoordinator:
		return endpoint.applyDecision(false, now.Add(noCoordinatorRetryDelay), v.AskedAt, now)
	}
	return endpoint.applyDecision(a.Granted, a.NextAt, v.AskedAt, now)
}

// HandleTimeout records that the coordinator did not answer. It may have granted the permit, so
// the request must not be sent.
func (t *Throttle) HandleTimeout(v Verdict, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	backoffUntil := now.Add(coordinatorBackoffDuration)
	t.coordinatorBackoff[v.Coordinator.ID] = backoffUntil
	return Verdict{
		RetryAt: backoffUntil,
	}
}

// coordinator returns the VM that grants permits for an endpoint. All VMs that reach each
// other choose the same one.
func (t *Throttle) coordinator(endpointID string, r RegionView) fleet.VM {
	if coordinator, ok := entry.HighestRanked(entry.Hash(endpointID), r.Reachable); ok {
		return coordinator
	}
	return fleet.VM{
		ID: t.options.VM,
	}
}

// ObserveRate processes the rate that an endpoint's answer names. sentAt is when the
// request was sent: the answer to a request sent before the current limit was learned
// may predate that limit, so it can only lower it.
func (t *Throttle) ObserveRate(e fleet.Endpoint, r fleet.Rate, sentAt, now time.Time) {
	t.mu.Lock()
	var current Limit
	isLater := true
	if endpoint := t.endpoints[e.ID]; endpoint != nil {
		current = endpoint.limit
		isLater = sentAt.After(endpoint.learnedAt)
	}
	if !current.isChangedBy(e.Incarnation, r, isLater) {
		t.mu.Unlock()
		return
	}
	next := current.updated(e, r)
	t.storeLimit(next, now)
	t.mu.Unlock()
	t.options.OnLimitChanged(next)
}

// Learn stores another VM's limit if it is newer, and reports whether it was.
func (t *Throttle) Learn(l Limit, now time.Time) (isNew bool) {
	t.mu.Lock()
	endpoint := t.endpoints[l.Endpoint]
	isNew = l.Version > 0 && (endpoint == nil || l.supersedes(endpoint.limit))
	if isNew {
		t.storeLimit(l, now)
	}
	t.mu.Unlock()
	if isNew {
		t.options.OnLimitChanged(l)
	}
	return isNew
}

// storeLimit replaces a limit. The token bucket of a new limit starts empty, as earlier
// requests are unknown.
func (t *Throttle) storeLimit(l Limit, now time.Time) {
	endpoint := t.endpoints[l.Endpoint]
	if endpoint == nil {
		endpoint = &limitedEndpoint{
			listedAt: now,
		}
		t.endpoints[l.Endpoint] = endpoint
	}
	if l.Incarnation != endpoint.limit.Incarnation || !endpoint.limit.Active || !l.Active {
		endpoint.bucket = tokenBucket{
			refilledAt: now,
		}
	}
	endpoint.limit = l
	endpoint.learnedAt = now
	if !l.Active {
		endpoint.closedUntil = time.Time{}
	}
}

// IsLimited reports whether the endpoint has an active limit.
func (t *Throttle) IsLimited(e fleet.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.endpoints[e.ID]
	return endpoint != nil && endpoint.limit.appliesTo(e)
}

// SetPublished updates which endpoints are published and drops the others after
// unlistedRetention.
func (t *Throttle) SetPublished(isListed func(endpointID string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, endpoint := range t.endpoints {
		if isListed(id) {
			endpoint.listedAt = now
		} else if now.Sub(endpoint.listedAt) > unlistedRetention {
			delete(t.endpoints, id)
		}
	}
}
