package agent

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/call"
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
	// calls is the number of calls interrupted until the check ended.
	calls int
	// subjects are those of all interrupted calls, once each.
	subjects []cutSubject
	// answers count if the endpoint has not crashed.
	answers []recentAnswer
	// expiresAt is set once the result is known.
	expiresAt time.Time
}

// cutSubject is a subject with the number of interrupted calls that have it.
type cutSubject struct {
	subject call.Subject
	calls   int
}

// add adds an interrupted call and returns the index of the first subject that no call
// before it has.
func (c *check) add(subjects []call.Subject) int {
	c.calls++
	known := len(c.subjects)
	for _, s := range subjects {
		i := slices.IndexFunc(c.subjects, func(known cutSubject) bool { return known.subject == s })
		if i < 0 {
			i = len(c.subjects)
			c.subjects = append(c.subjects, cutSubject{subject: s})
		}
		c.subjects[i].calls++
	}
	return known
}

// checkEndpoint checks whether the endpoint that ran a call has crashed, unless the
// result is already known.
func (a *Agent) checkEndpoint(ctx context.Context, subjects []call.Subject, e fleet.Endpoint, now time.Time) {
	known := a.checkOf(ctx, e, now)
	switch known.state {
	case stateChecking:
		known.add(subjects)
	case stateCrashed:
		a.recordCrash(instanceOf(e), known, known.add(subjects), now)
	}
}

// checkAnswer checks whether the endpoint of an answer has crashed since, unless the result is
// already known.
func (a *Agent) checkAnswer(ctx context.Context, r recentAnswer, now time.Time) {
	known := a.checkOf(ctx, r.endpoint, now)
	switch known.state {
	case stateChecking:
		known.answers = append(known.answers, r)
	case stateCrashed:
		a.recordCrash(instanceOf(r.endpoint), known, known.add(r.list()), now)
	case stateAnswers:
		a.credit(r.list(), r.openAt)
	}
}

// checkOf returns the check of an endpoint, a new one if there is none with a valid result.
func (a *Agent) checkOf(ctx context.Context, e fleet.Endpoint, now time.Time) *check {
	target := instanceOf(e)
	known := a.checks[target]
	if known == nil || known.state != stateChecking && !now.Before(known.expiresAt) {
		known = &check{
			state: stateChecking,
		}
		a.checks[target] = known
		go a.probe(ctx, e)
	}
	return known
}

// recordCrash records that an endpoint crashed while it was running calls with the subjects
// of its check, beginning with one.
func (a *Agent) recordCrash(crashed instance, c *check, from int, now time.Time) {
	for _, s := range c.subjects[from:] {
		a.list.AddCrash(quarantine.Crash{
			Subject:     s.subject,
			Incarnation: crashed.hash(),
			At:          now,
			Calls:       s.calls,
			AnsweredAt:  a.answers.At(s.subject),
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
		a.suspectRecent(target, known)
		a.recordCrash(target, known, 0, now)
	}
	if found == stateAnswers {
		for _, r := range known.answers {
			a.credit(r.list(), r.openAt)
		}
	}
	known.answers = nil
	a.options.Log.Log(context.Background(), level, "endpoint_checked", "endpoint", e.ID, "state", string(found), "calls", known.calls)
	if found != stateCrashed {
		known.subjects = nil
	}
}

// suspectRecent adds the calls to a check that a crashed endpoint had just answered.
func (a *Agent) suspectRecent(crashed instance, c *check) {
	for _, r := range c.answers {
		c.add(r.list())
	}
	for _, subjects := range a.recent.take(crashed) {
		c.add(subjects)
	}
}

// dropExpiredChecks removes the checks whose results are no longer valid.
func (a *Agent) dropExpiredChecks(now time.Time) {
	for target, known := range a.checks {
		if known.state != stateChecking && !now.Before(known.expiresAt) {
			delete(a.checks, target)
		}
	}
}
