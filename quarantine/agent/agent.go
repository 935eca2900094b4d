// Package agent watches what becomes of endpoints under the calls that this VM sends
// them: when a connection breaks off it finds out whether the endpoint crashed.
package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/mailbox"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// inboxLength is how many messages may wait: one crash cuts some hundred calls of
	// a VM at the most.
	inboxLength = 512
	// stepEvery is how often the state changes by itself.
	stepEvery = time.Second
)

// Options set up an Agent. Every field is required.
type Options struct {
	Log *slog.Logger
	Now func() time.Time
	// Dial opens a connection to an address and closes it.
	Dial func(ctx context.Context, addr string) error
}

// Agent is the watch of one VM. Its exported methods may be called from any goroutine.
type Agent struct {
	options Options
	inbox   mailbox.Mailbox[message]
	// checks are the endpoints that are being looked at, or were of late.
	checks map[life]*check
}

// message is one event for the agent's goroutine.
type message func(ctx context.Context, now time.Time)

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

// New makes an agent that does not run yet.
func New(o Options) *Agent {
	return &Agent{
		options: o,
		inbox:   mailbox.New[message](inboxLength),
		checks:  make(map[life]*check),
	}
}

// Run handles what it is told until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-a.inbox.Messages():
			m(ctx, a.options.Now())
		case <-ticker.C:
			a.step(a.options.Now())
		}
	}
}

func (a *Agent) step(now time.Time) {
	a.forgetChecks(now)
}

// tell passes a message to the agent's goroutine. Traffic never waits for it: what
// does not fit is dropped with a line.
func (a *Agent) tell(m message) {
	if !a.inbox.Offer(m) {
		a.options.Log.Warn("crash_note_dropped")
	}
}

// Cut takes that the connection broke off on which an endpoint had a call.
func (a *Agent) Cut(content uint64, e fleet.Endpoint) {
	a.tell(func(ctx context.Context, now time.Time) { a.check(ctx, content, e, now) })
}
