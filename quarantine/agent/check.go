package agent

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
)

const (
	// dialTimeout covers one retransmission of a lost packet within a region, 0.3 s later
	// at the earliest.
	dialTimeout = 400 * time.Millisecond
	// maxDials is the number of dial attempts, dialInterval apart, if an endpoint does
	// not respond at all. More than one or two lost packets indicate a partition, not a
	// crash.
	maxDials     = 3
	dialInterval = 200 * time.Millisecond
	// resultLifetime is how long the result of a check is valid. It covers the calls
	// that one crash interrupts, but is short as a reachable endpoint may crash soon
	// after. A crashed incarnation never comes back.
	resultLifetime        = 250 * time.Millisecond
	crashedResultLifetime = 10 * time.Second
)

// checkState is the state of an endpoint check.
type checkState string

const (
	stateChecking checkState = "looking"
	// stateCrashed means that nothing listens at the address any more.
	stateCrashed checkState = "crashed"
	// stateAnswers means that only the connection was lost.
	stateAnswers checkState = "answers"
	// stateLeft means that the endpoint stopped as planned.
	stateLeft checkState = "left"
	// stateSilent means that the endpoint did not respond, because of a crash or a
	// partition.
	stateSilent checkState = "silent"
)

// instance is one incarnation of an endpoint.
type instance struct {
	endpoint    string
	incarnation int64
}

func instanceOf(e fleet.Endpoint) instance {
	return instance{
		endpoint:    e.ID,
		incarnation: e.Incarnation,
	}
}

// hash identifies the instance in notes.
func (i instance) hash() uint64 {
	return xxhash.Sum64String(i.endpoint + " " + strconv.FormatInt(i.incarnation, 10))
}

// check is the check of one instance.
type check struct {
	state checkState
	// contents are the calls interrupted while the check is in progress.
	contents []uint64
	// expiresAt is set once the result is known.
	expiresAt time.Time
}

// checkEndpoint checks whether the endpoint that ran a call has crashed, unless the
// result is already known.
func (a *Agent) checkEndpoint(ctx context.Context, content uint64, e fleet.Endpoint, now time.Time) {
	target := instanceOf(e)
	known := a.checks[target]
	switch {
	case known == nil || (known.state != stateChecking && !now.Before(known.expiresAt)):
		known = &check{
			state:    stateChecking,
			contents: []uint64{content},
		}
		a.checks[target] = known
		go a.probe(ctx, e)
	case known.state == stateChecking:
		known.contents = append(known.contents, content)
	case known.state == stateCrashed:
		a.recordCrash(target, []uint64{content}, now)
	}
}

// recordCrash records that an endpoint crashed while it was running calls.
func (a *Agent) recordCrash(crashed instance, contents []uint64, now time.Time) {
	for _, content := range contents {
		a.list.AddCrash(quarantine.Crash{
			Content:           content,
			Incarnation:       crashed.hash(),
			At:                now,
			RecentlySucceeded: a.proven.has(content),
		})
	}
	a.stepDue = true
}

// probe dials an endpoint and reports the result to the agent's goroutine.
func (a *Agent) probe(ctx context.Context, e fleet.Endpoint) {
	found := stateSilent
	for i := 0; i < maxDials && found == stateSilent; i++ {
		if i > 0 {
			now := a.options.Now()
			worker.SleepUntil(ctx, now, now.Add(dialInterval))
		}
		found = a.dial(ctx, e)
	}
	if ctx.Err() == nil {
		a.inbox.Send(ctx, func(_ context.Context, now time.Time) { a.finishCheck(e, found, now) })
	}
}

func (a *Agent) dial(ctx context.Context, e fleet.Endpoint) checkState {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	err := a.options.Dial(dialCtx, e.Addr)
	switch {
	case err == nil:
		return stateAnswers
	case errors.Is(err, syscall.ECONNREFUSED):
		return stateCrashed
	default:
		return stateSilent
	}
}

func (a *Agent) finishCheck(e fleet.Endpoint, found checkState, now time.Time) {
	if found == stateCrashed && !a.options.Published(e) {
		found = stateLeft
	}
	target := instanceOf(e)
	known := a.checks[target]
	known.state = found
	known.expiresAt = now.Add(resultLifetime)
	if found == stateCrashed {
		known.expiresAt = now.Add(crashedResultLifetime)
	}
	// Without a crash the level is debug, as packet loss breaks off many connections.
	level := slog.LevelDebug
	if found == stateCrashed {
		level = slog.LevelInfo
		a.recordCrash(target, known.contents, now)
	}
	a.options.Log.Log(context.Background(), level, "endpoint_checked", "endpoint", e.ID, "state", string(found), "calls", len(known.contents))
	known.contents = nil
}

// dropExpiredChecks removes the checks whose results are no longer valid.
func (a *Agent) dropExpiredChecks(now time.Time) {
	for target, known := range a.checks {
		if known.state != stateChecking && !now.Before(known.expiresAt) {
			delete(a.checks, target)
		}
	}
}
