// Package serving carries one call from its arrival to its outcome: it places
// the call, charges the contract's limits, waits for an endpoint, sends the
// call, and settles what it used. Callers' calls and forwarded ones take the
// same way, but a forwarded call has no way that leads to another VM.
package serving

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/ticket"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// Pool is the endpoints of one target in this region, with the queue before them.
type Pool struct {
	Endpoints *routing.Pool
	Queue     *admission.Queue
}

// Budget bounds how often calls of one target are sent again.
type Budget struct {
	// OnRequest counts a call's first attempt.
	OnRequest func(target string)
	// Allow takes one more attempt from the budget, if there is one.
	Allow func(target string) bool
}

// Crashes keeps calls from endpoints that these crash under.
type Crashes struct {
	// Admit reports whether endpoints may get a call, maybe as a trial.
	Admit func(content uint64) (refusal *result.Refusal, trial bool)
	// Cut is told that the connection broke off on which an endpoint had a call, and when
	// its answer began, if it did.
	Cut func(content uint64, e fleet.Endpoint, firstAt time.Time)
	// EndedWell is told that an endpoint ran a call and did not crash.
	EndedWell func(content uint64)
}

// noCrashes holds nothing.
var noCrashes = Crashes{
	Admit:     func(uint64) (*result.Refusal, bool) { return nil, false },
	Cut:       func(uint64, fleet.Endpoint, time.Time) {},
	EndedWell: func(uint64) {},
}

// Limits charges routed calls to the limits of their workspaces.
type Limits struct {
	Take func(ctx context.Context, c *call.Call) *result.Refusal
	// GiveBack returns the charge of a call that certainly did not run.
	GiveBack func(c *call.Call)
}

// noLimits charges nothing.
var noLimits = Limits{
	Take:     func(context.Context, *call.Call) *result.Refusal { return nil },
	GiveBack: func(*call.Call) {},
}

// PlaceRouted decides where a routed call is served: here if ok is false, or on
// a VM of another region. A refusal means nowhere. tried are the VMs that did
// not look at the call.
type PlaceRouted func(ctx context.Context, c *call.Call, tried []string) (vm fleet.VM, away bool, refusal *result.Refusal)

// Options set up a Server. Every field is required, but for those that only
// calls under contracts or only routed calls need.
type Options struct {
	Now    func() time.Time
	VM     string
	Region string
	// Snapshot and View give what the control goroutine published last.
	Snapshot func() *configuration.Snapshot
	View     func() *membership.View
	// Pool finds the pool of a model or service.
	Pool func(target string) (*Pool, bool)
	// Forward runs a call on another VM.
	Forward func(ctx context.Context, vm fleet.VM, c *call.Call, sink call.Sink) call.Outcome
	// Lease asks a workspace's owner for a part of its limits.
	Lease func(ctx context.Context, owner fleet.VM, workspace string, want, unused limit.Amounts) (Lease, *result.Refusal)
	// Borrow chooses a region with surplus; ok is false when the call must stay.
	Borrow func(c *call.Call, terms Terms) (fleet.VM, bool)
	// Accept lets a call of another region use this region's surplus; done must
	// be called once the call has ended.
	Accept func(c *call.Call) (done func(), refusal *result.Refusal)
	// PlaceRouted is for routed calls only.
	PlaceRouted PlaceRouted

	Ledger   *limit.Ledger
	Desk     *ticket.Desk
	Endpoint *endpoint.Client
	Budget   Budget
	// Crashes, Limits and Throttle may be left out.
	Crashes  Crashes
	Limits   Limits
	Throttle Throttle
	Ring     *timeline.Ring
	Metrics  *metrics.Metrics
}

// Lease is a part of a workspace's limits with its end.
type Lease struct {
	Granted limit.Amounts
	Until   time.Time
}

// Server carries calls. Its methods may be called from any goroutine.
type Server struct {
	options  Options
	inFlight atomic.Int64
	stopping atomic.Bool
	attempts atomic.Uint64
	leases   leaseFlights
	// spend and decide are the decisions that keep a call from running twice.
	spend  func(e *ticket.Entry, now time.Time) *result.Refusal
	decide func(a retry.Attempt, now time.Time) retry.Verdict
}

// New makes a server.
func New(o Options) *Server {
	if o.Crashes.Admit == nil {
		o.Crashes = noCrashes
	}
	if o.Limits.Take == nil {
		o.Limits = noLimits
	}
	if o.Throttle.Take == nil {
		o.Throttle = noThrottle
	}
	return &Server{
		options: o,
		spend:   (*ticket.Entry).Sending,
		decide:  retry.Decide,
	}
}

// InFlight is the number of calls being carried.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// Stop lets new calls be refused as Stopping. Calls in flight go on.
func (s *Server) Stop() {
	s.stopping.Store(true)
}

// Serve carries a call whose place was decided by Place, and records its outcome.
func (s *Server) Serve(ctx context.Context, c *call.Call, place Placement, sink call.Sink) call.Outcome {
	s.countInFlight(1)
	defer s.countInFlight(-1)
	s.event(c, "call_arrived", timeline.Event{
		Detail: c.Target() + " " + c.Priority.String(),
	})
	arrivedAt := s.options.Now()
	c.Content = c.ContentHash()
	traceArrival(c, arrivedAt)
	outcome := s.carry(ctx, c, place, sink)
	s.record(c, outcome, arrivedAt)
	return outcome
}

func (s *Server) countInFlight(calls int) {
	s.inFlight.Add(int64(calls))
	s.options.Metrics.AddInFlight(calls)
}

func (s *Server) carry(ctx context.Context, c *call.Call, place Placement, sink call.Sink) call.Outcome {
	switch place.Kind {
	case PlaceForward:
		return s.forward(ctx, c, place, sink)
	case PlaceRefuse:
		return call.Refused(place.Refusal)
	default:
		return s.serveHere(ctx, c, place, sink)
	}
}

func (s *Server) serveHere(ctx context.Context, c *call.Call, place Placement, sink call.Sink) call.Outcome {
	if c.Kind == call.KindRouted {
		return s.serveRouted(ctx, c, sink)
	}
	if c.Origin != "" {
		return s.serveStranger(ctx, c, sink)
	}
	if c.Idempotent {
		if r := s.refuseNew(); r != nil {
			return call.Refused(r)
		}
		return s.run(ctx, c, place.Terms, sink, nil)
	}
	return s.serveTicketed(ctx, c, place.Terms, sink)
}

// refuseNew refuses a call that has not begun here when the VM is stopping.
func (s *Server) refuseNew() *result.Refusal {
	if !s.stopping.Load() {
		return nil
	}
	return result.Refuse(result.Stopping, "VM %s is stopping", s.options.VM)
}

// forward sends a call to another VM, once. A stopping VM sends on only what
// has a ticket: no other VM can say whether that ran.
func (s *Server) forward(ctx context.Context, c *call.Call, place Placement, sink call.Sink) call.Outcome {
	if r := s.refuseNew(); r != nil && (c.Ticket == "" || place.Unreached) {
		return notSentOn(c, place.VM, r)
	}
	s.event(c, "call_forwarded", timeline.Event{
		Peer: place.VM.ID,
	})
	outcome := s.options.Forward(ctx, place.VM, c, sink)
	s.options.Metrics.Forwarded(outcome.Code.Class())
	return judgeForwarded(c, place.VM, outcome)
}

// judgeForwarded judges an outcome that may be of a VM which has not looked at
// its records: it was not reached, or does not know the workspace.
func judgeForwarded(c *call.Call, vm fleet.VM, o call.Outcome) call.Outcome {
	switch o.Code {
	case result.PeerUnreachable, result.NotReady, result.WrongRegion:
		return notSentOn(c, vm, o.Refusal)
	default:
		return o
	}
}

// notSentOn is the outcome of a call that its VM has not looked at. A caller
// with a ticket is told only what the ticket's executor knows: an earlier ask
// with the same ticket may have run.
func notSentOn(c *call.Call, vm fleet.VM, r *result.Refusal) call.Outcome {
	if c.Idempotent || c.Ticket == "" {
		return call.Refused(r)
	}
	return call.Refused(result.Refuse(result.ExecutorGone, "VM %s did not look at the ticket", vm.ID).Because(r))
}

// serveStranger runs a call that another region charged and sent here.
func (s *Server) serveStranger(ctx context.Context, c *call.Call, sink call.Sink) call.Outcome {
	if r := s.refuseNew(); r != nil {
		return call.Refused(r)
	}
	done, r := s.options.Accept(c)
	if r != nil {
		return call.Refused(r)
	}
	defer done()
	return s.attempt(ctx, c, sink, nil)
}

func (s *Server) record(c *call.Call, o call.Outcome, arrivedAt time.Time) {
	traceEnd(c, o, arrivedAt, s.options.Now())
	s.event(c, "call_ended", timeline.Event{
		Endpoint: o.Endpoint,
		Code:     o.Code,
	})
	if c.Forwarded {
		return
	}
	s.options.Metrics.CallEnded(c, o, arrivedAt, s.options.Now())
}

func (s *Server) event(c *call.Call, kind string, e timeline.Event) {
	e.Kind = kind
	e.Request = c.ID
	e.Workspace = c.Workspace
	s.options.Ring.Add(e)
}
