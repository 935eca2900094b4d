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
	// dialWithin bounds one look at an endpoint: a connection within a region takes a
	// millisecond or two, and a lost packet is sent again after 0.3 s at the earliest.
	dialWithin = 400 * time.Millisecond
	// looks is how often an endpoint that gives no answer at all is looked at, lookEvery
	// apart: more than a lost packet or two is a cut and no crash.
	looks     = 3
	lookEvery = 200 * time.Millisecond
	// knownFor is how long the outcome of a look stands for all calls that break off:
	// those of one crash come within some milliseconds, and one that answers may crash
	// a moment later. A crashed life never comes back.
	knownFor        = 250 * time.Millisecond
	crashedKnownFor = 10 * time.Second
)

// state is what is known of an endpoint of which a connection broke off.
type state string

const (
	stateLooking state = "looking"
	// stateCrashed means that nothing listens any more at its address.
	stateCrashed state = "crashed"
	// stateAnswers means that the connection alone was lost.
	stateAnswers state = "answers"
	// stateLeft means that it is gone as it was to be.
	stateLeft state = "left"
	// stateSilent leaves it open: a cut looks the same.
	stateSilent state = "silent"
)

// life is one life of an endpoint, which may start again under its id.
type life struct {
	endpoint    string
	incarnation int64
}

func lifeOf(e fleet.Endpoint) life {
	return life{
		endpoint:    e.ID,
		incarnation: e.Incarnation,
	}
}

// hash is how notes name a life.
func (l life) hash() uint64 {
	return xxhash.Sum64String(l.endpoint + " " + strconv.FormatInt(l.incarnation, 10))
}

// check is one life of an endpoint that is or was looked at.
type check struct {
	state state
	// cuts are the contents of the calls that broke off meanwhile.
	cuts []uint64
	// forgetAt is set once the outcome is known.
	forgetAt time.Time
}

// check finds out whether an endpoint crashed that had a call.
func (a *Agent) check(ctx context.Context, content uint64, e fleet.Endpoint, now time.Time) {
	of := lifeOf(e)
	known := a.checks[of]
	switch {
	case known == nil || (known.state != stateLooking && !now.Before(known.forgetAt)):
		known = &check{
			state: stateLooking,
			cuts:  []uint64{content},
		}
		a.checks[of] = known
		go a.look(ctx, e)
	case known.state == stateLooking:
		known.cuts = append(known.cuts, content)
	case known.state == stateCrashed:
		a.witness(of, []uint64{content}, now)
	}
}

// witness takes that an endpoint crashed while it had calls.
func (a *Agent) witness(of life, contents []uint64, now time.Time) {
	for _, content := range contents {
		a.list.Witness(quarantine.Crash{
			Content: content,
			Life:    of.hash(),
			At:      now,
			Proven:  a.proven.has(content),
		})
	}
	a.due = true
}

// look dials an endpoint, which answers in a millisecond or two if it is there.
func (a *Agent) look(ctx context.Context, e fleet.Endpoint) {
	found := stateSilent
	for i := 0; i < looks && found == stateSilent; i++ {
		if i > 0 {
			now := a.options.Now()
			worker.SleepUntil(ctx, now, now.Add(lookEvery))
		}
		found = a.dial(ctx, e)
	}
	if ctx.Err() == nil {
		a.inbox.Send(ctx, func(_ context.Context, now time.Time) { a.looked(e, found, now) })
	}
}

func (a *Agent) dial(ctx context.Context, e fleet.Endpoint) state {
	trip, cancel := context.WithTimeout(ctx, dialWithin)
	defer cancel()
	err := a.options.Dial(trip, e.Addr)
	switch {
	case err == nil:
		return stateAnswers
	case errors.Is(err, syscall.ECONNREFUSED):
		return stateCrashed
	default:
		return stateSilent
	}
}

func (a *Agent) looked(e fleet.Endpoint, found state, now time.Time) {
	if found == stateCrashed && !a.options.Listed(e) {
		found = stateLeft
	}
	of := lifeOf(e)
	known := a.checks[of]
	known.state = found
	known.forgetAt = now.Add(knownFor)
	if found == stateCrashed {
		known.forgetAt = now.Add(crashedKnownFor)
	}
	// Connections alone break off by the dozen where a network loses packets.
	level := slog.LevelDebug
	if found == stateCrashed {
		level = slog.LevelInfo
		a.witness(of, known.cuts, now)
	}
	a.options.Log.Log(context.Background(), level, "endpoint_checked", "endpoint", e.ID, "state", string(found), "calls", len(known.cuts))
	known.cuts = nil
}

// forgetChecks drops what is no longer of use.
func (a *Agent) forgetChecks(now time.Time) {
	for of, known := range a.checks {
		if known.state != stateLooking && !now.Before(known.forgetAt) {
			delete(a.checks, of)
		}
	}
}
