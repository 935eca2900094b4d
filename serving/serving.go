// Package serving executes one call end to end: it places the call, reserves its
// cost against the workspace's limits, waits for an endpoint, sends the call with
// retries, and settles the usage. Calls from callers and calls forwarded by other
// VMs share this path, except that a forwarded call is never forwarded again.
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
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/ticket"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// Pool holds the endpoints of one target in this region and their admission queue.
type Pool struct {
	Endpoints *routing.Pool
	Queue     *admission.Queue
}

// Budget is the retry budget, kept per target.
type Budget struct {
	// OnRequest records a call's first attempt.
	OnRequest func(target string)
	// Allow takes one retry from the budget and reports whether it had one.
	Allow func(target string) bool
	// Return gives back a retry that was granted at a time and never sent; nil keeps it.
	Return func(target string, grantedAt time.Time)
	// Covers reports whether a retry that was granted at a time counts there if it is sent now; nil
	// means that it always does.
	Covers func(target string, grantedAt time.Time) bool
}

// Quarantine quarantines calls whose content, or parts of whose prompts, repeatedly crashed
// endpoints.
type Quarantine struct {
	// Admit reports whether a call with the subjects may be sent, possibly as a trial; trial
	// is the subject that it was already admitted to try.
	Admit func(subjects []call.Subject, trial call.Subject) quarantine.Admission
	// ConnectionLost reports that the connection to an endpoint broke during an attempt.
	ConnectionLost func(r quarantine.Run)
	// Answered reports that an endpoint answered a call, or went on answering it, without
	// crashing.
	Answered func(r quarantine.Run)
	// TrialUnsent takes back a trial that reached no endpoint.
	TrialUnsent func(subject call.Subject)
}

// noQuarantine admits every call.
var noQuarantine = Quarantine{
	Admit: func(_ []call.Subject, trial call.Subject) quarantine.Admission {
		return quarantine.Admission{Trial: trial}
	},
	ConnectionLost: func(quarantine.Run) {},
	Answered:       func(quarantine.Run) {},
	TrialUnsent:    func(call.Subject) {},
}

// Limits charges routed calls against the limits of their workspaces.
type Limits struct {
	Take func(ctx context.Context, c *call.Call) *result.Refusal
	// Refund refunds the charge of a call that certainly did not run.
	Refund func(c *call.Call)
}

// noLimits admits every call without a charge.
var noLimits = Limits{
	Take:   func(context.Context, *call.Call) *result.Refusal { return nil },
	Refund: func(*call.Call) {},
}

// Streams tells which software version began the streams of routed calls, which may go on at
// that version only.
type Streams struct {
	// Began records that a caller got the first event of a stream from an endpoint of a
	// version.
	Began func(c *call.Call, softwareVersion string)
	// Origin returns the service and the version that began the stream that a caller resumes;
	// ok is false if they are not known.
	Origin func(ctx context.Context, c *call.Call) (o origin.Origin, ok bool)
}

// noStreams knows the origin of no stream.
var noStreams = Streams{
	Began:  func(*call.Call, string) {},
	Origin: func(context.Context, *call.Call) (origin.Origin, bool) { return origin.Origin{}, false },
}

// PlaceRouted chooses where a routed call is served: on vm in another region if
// remote is true, otherwise on this VM. A refusal means that no place is left. tried
// lists the VMs that were tried already.
type PlaceRouted func(ctx context.Context, c *call.Call, tried []fleet.VM) (vm fleet.VM, remote bool, refusal *result.Refusal)

// Options configures a Server. All fields are required, except those used only for
// calls under contracts or only for routed calls.
type Options struct {
	Now    func() time.Time
	VM     string
	Region string
	// Snapshot and View return the state last published by the control loop.
	Snapshot func() *configuration.Snapshot
	View     func() *membership.View
	// Pool returns the pool of a model or service.
	Pool func(target string) (*Pool, bool)
	// Forward runs a call on another VM.
	Forward func(ctx context.Context, vm fleet.VM, c *call.Call, sink call.Sink) call.Outcome
	// Lease requests part of a workspace's limits from the VM that owns them.
	Lease func(ctx context.Context, owner fleet.VM, workspace string, want, unused limit.Amounts) (Lease, *result.Refusal)
	// ChooseOverflow chooses a VM in a region with spare capacity; it returns false if there is none.
	ChooseOverflow func(c *call.Call, terms Terms) (fleet.VM, bool)
	// AcceptOverflow admits a call from another region to this region's spare capacity; done
	// must be called once the call has ended.
	AcceptOverflow func(c *call.Call) (done func(), refusal *result.Refusal)
	// PlaceRouted is required for routed calls only.
	PlaceRouted PlaceRouted
	// MayRepeat reports whether a routed call that may have run may still run again; nil means
	// that its terms don't change.
	MayRepeat func(ctx context.Context, c *call.Call) bool

	Ledger   *limit.Ledger
	Tickets  *ticket.Registry
	Endpoint *endpoint.Client
	Budget   Budget
	// Quarantine, Limits, Throttle and Streams are optional.
	Quarantine Quarantine
	Limits     Limits
	Throttle   Throttle
	Streams    Streams
	Timeline   *timeline.Ring
	Metrics    *metrics.Metrics
}

// Lease is a part of a workspace's limits, valid until it expires.
type Lease struct {
	Granted limit.Amounts
	Until   time.Time
}

// Server executes calls. It is safe for concurrent use.
type Server struct {
	options  Options
	inFlight atomic.Int64
	stopping atomic.Bool
	attempts atomic.Uint64
	leases   leaseSingleflight
	// markSent and decide guard against running a call twice; tests replace them.
	markSent func(e *ticket.Entry, now time.Time) *result.Refusal
	decide   func(a retry.Attempt, now time.Time) retry.Verdict
}

// New creates a Server.
func New(o Options) *Server {
	if o.Quarantine.Admit == nil {
		o.Quarantine = noQuarantine
	}
	if o.Limits.Take == nil {
		o.Limits = noLimits
	}
	if o.Throttle.Take == nil {
		o.Throttle = noThrottle
	}
	if o.Streams.Began == nil {
		o.Streams = noStreams
	}
	return &Server{
		options:  o,
		markSent: (*ticket.Entry).MarkSent,
		decide:   retry.Decide,
	}
}

// InFlight returns the number of calls in progress.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// Stop makes the server refuse new calls with result.Stopping. Calls in progress
// continue.
func (s *Server) Stop() {
	s.stopping.Store(true)
}

// Serve executes a call at the placement that place chooses and records its outcome.
func (s *Server) Serve(ctx context.Context, c *call.Call, place Placement, sink call.Sink) call.Outcome {
	s.addInFlight(1)
	defer s.addInFlight(-1)
	s.addEvent(c, "call_arrived", timeline.Event{
		Detail: c.Target() + " " + c.Priority.String(),
	})
	arrivedAt := s.options.Now()
	c.SetSubjects()
	traceArrival(c, arrivedAt)
	outcome := s.dispatch(ctx, c, place, sink)
	s.returnUnsentTrial(c, outcome)
	s.recordOutcome(c, outcome, arrivedAt)
	return outcome
}

func (s *Server) addInFlight(calls int) {
	s.inFlight.Add(int64(calls))
	s.options.Metrics.AddInFlight(calls)
}

func (s *Server) dispatch(ctx context.Context, c *call.Call, place Placement, sink call.Sink) call.Outcome {
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
	if c.ChargedRegion != "" {
		return s.serveBorrowed(ctx, c, sink)
	}
	if c.Idempotent {
		if r := s.refuseIfStopping(); r != nil {
			return call.Refused(r)
		}
		return s.run(ctx, c, place.Terms, sink, nil)
	}
	return s.serveTicketed(ctx, c, place.Terms, sink)
}

// refuseIfStopping refuses new calls while the VM is draining.
func (s *Server) refuseIfStopping() *result.Refusal {
	if !s.stopping.Load() {
		return nil
	}
	return result.Refuse(result.Stopping, "VM %s is stopping", s.options.VM)
}

// forward sends a call to another VM, once. While draining, only calls with a ticket
// are forwarded, because no VM but the ticket's executor knows whether they ran.
func (s *Server) forward(ctx context.Context, c *call.Call, place Placement, sink call.Sink) call.Outcome {
	if r := s.refuseIfStopping(); r != nil && (c.Ticket == "" || place.Unreachable) {
		return unhandledByPeer(c, place.VM, r)
	}
	s.addEvent(c, "call_forwarded", timeline.Event{
		Peer: place.VM.ID,
	})
	outcome := s.options.Forward(ctx, place.VM, c, sink)
	s.options.Metrics.Forwarded(outcome.Code.Class())
	return convertForwardedOutcome(c, place.VM, outcome)
}

// convertForwardedOutcome replaces outcomes that mean that the other VM did not look
// up the call's ticket: it was unreachable, not ready, or in a region that the
// contract does not allow.
func convertForwardedOutcome(c *call.Call, vm fleet.VM, o call.Outcome) call.Outcome {
	switch o.Code {
	case result.PeerUnreachable, result.NotReady, result.WrongRegion:
		return unhandledByPeer(c, vm, o.Refusal)
	default:
		return o
	}
}

// unhandledByPeer returns the outcome of a call that another VM did not look at. A
// call with a ticket ends as ExecutorGone, as an earlier request with the same
// ticket may have run.
func unhandledByPeer(c *call.Call, vm fleet.VM, r *result.Refusal) call.Outcome {
	if c.Idempotent || c.Ticket == "" {
		return call.Refused(r)
	}
	return call.Refused(result.Refuse(result.ExecutorGone, "VM %s did not look at the ticket", vm.ID).WithCause(r))
}

// serveBorrowed serves a call from another region, where it was already charged.
func (s *Server) serveBorrowed(ctx context.Context, c *call.Call, sink call.Sink) call.Outcome {
	if r := s.refuseIfStopping(); r != nil {
		return call.Refused(r)
	}
	done, r := s.options.AcceptOverflow(c)
	if r != nil {
		return call.Refused(r)
	}
	defer done()
	return s.sendWithRetries(ctx, c, sink, nil)
}

func (s *Server) recordOutcome(c *call.Call, o call.Outcome, arrivedAt time.Time) {
	traceEnd(c, o, arrivedAt, s.options.Now())
	s.addEvent(c, "call_ended", timeline.Event{
		Endpoint: o.Endpoint,
		Code:     o.Code,
	})
	if c.Forwarded {
		return
	}
	s.options.Metrics.CallEnded(c, o, arrivedAt, s.options.Now())
}

func (s *Server) addEvent(c *call.Call, kind string, e timeline.Event) {
	e.Kind = kind
	e.Request = c.ID
	e.Workspace = c.Workspace
	s.options.Timeline.Add(e)
}
