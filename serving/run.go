package serving

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

const attemptBase = 36

// sending is called right before a call's first byte goes to an endpoint.
// Its error, a refusal, stops the call with nothing sent.
type sending func() error

// run charges the call, serves it here or in a region with surplus, and
// settles the charge by what was used.
func (s *Server) run(ctx context.Context, c *call.Call, terms Terms, sink call.Sink, before sending) call.Outcome {
	reservation, refusal := s.charge(ctx, c, terms)
	if refusal != nil {
		return call.Refused(refusal)
	}
	outcome := s.attempt(ctx, c, sink, before)
	if mayBorrow(c, outcome) {
		outcome = s.borrow(ctx, c, terms, sink, outcome)
	}
	s.settle(c, reservation, outcome)
	return outcome
}

func (s *Server) settle(c *call.Call, reservation limit.Reservation, outcome call.Outcome) {
	now := s.options.Now()
	if outcome.Code.Class() == result.ClassNotRun {
		s.options.Ledger.Cancel(reservation, now)
		return
	}
	used := Cost(c, outcome.Usage, s.options.Snapshot())
	s.options.Metrics.Spent(used.Spend)
	s.options.Ledger.Settle(reservation, used, now)
}

// progress is what the attempts of one call have come to.
type progress struct {
	excluded  [2]string
	history   retry.History
	delivered int
	// lastEvent is the id of the last event that the caller has of a routed stream.
	lastEvent string
	outcome   call.Outcome
	last      endpoint.Outcome
}

// attempt serves the call on this region's endpoints. It tries another
// endpoint only where nothing ran, or where the answer goes on without a seam.
func (s *Server) attempt(ctx context.Context, c *call.Call, sink call.Sink, before sending) call.Outcome {
	var p progress
	if !s.countFirst(c) {
		c.Trail.Fail("repeat_refused", slog.String("service", c.Target()))
		return call.Refused(result.Refuse(result.RetryBudget, "the retry budget is spent").Until(s.options.Now().Add(shareWithin)))
	}
	for {
		if refusal := s.attemptOnce(ctx, c, sink, before, &p); refusal != nil {
			return s.end(&p, sink, p.refusedAs(refusal))
		}
		if p.last.Code.Class() == result.ClassDone || !s.mayRepeat(c, &p) {
			return s.end(&p, sink, p.outcome)
		}
		if p.last.Sent && !s.options.Budget.Allow(c.Target()) {
			c.Trail.Fail("repeat_refused", slog.String("service", c.Target()))
			return s.end(&p, sink, p.budgetSpent())
		}
		s.options.Metrics.Retried()
	}
}

// countFirst counts a call's first attempt. That of a call which another VM
// has sent to an endpoint already is one more, and may not be allowed.
func (s *Server) countFirst(c *call.Call) bool {
	if c.Routed != nil && c.Routed.Repeated {
		return s.options.Budget.Allow(c.Target())
	}
	s.options.Budget.OnRequest(c.Target())
	return true
}

// end passes an endpoint's own failure on where no other attempt follows.
func (s *Server) end(p *progress, sink call.Sink, o call.Outcome) call.Outcome {
	o.Ran = p.history.Ran()
	held := p.last.Held
	if held == nil || o.Code.Class() == result.ClassDone || p.delivered > 0 {
		return o
	}
	if err := sink.Head(held.Status, held.Header); err != nil {
		return o
	}
	if err := sink.Chunk(held.Body); err != nil {
		return o
	}
	o.Code = result.FailurePassed
	o.Refusal = nil
	return o
}

// attemptOnce sends the call once. A refusal means that it was not sent.
func (s *Server) attemptOnce(ctx context.Context, c *call.Call, sink call.Sink, before sending, p *progress) *result.Refusal {
	if refusal := s.admitCrashing(c); refusal != nil {
		return refusal
	}
	pool, ok := s.options.Pool(c.Target())
	if !ok {
		return result.Refuse(result.NoEndpoint, "no endpoint of %s in region %s", c.Target(), s.options.Region)
	}
	slot, permit, refusal := s.admit(ctx, c, pool, p)
	if refusal != nil {
		return refusal
	}
	traceChoice(c, slot, p)
	chosen := slot.Choice.Endpoint.ID
	s.event(c, "call_admitted", timeline.Event{
		Endpoint: chosen,
	})
	attempt := s.newAttempt(c, slot, permit, before, p)
	attempt.Began = func() {
		pool.Endpoints.Began(slot.Choice, s.options.Now())
	}
	attempt.Paced = func(gap time.Duration, tokens int) {
		pool.Endpoints.Paced(slot.Choice, gap, tokens, s.options.Now())
	}
	out := s.options.Endpoint.Send(ctx, attempt, endpoint.Sink(sink))
	pool.Queue.Release(slot, routingOutcome(out, slot.Choice), s.options.Now())
	s.heedLeaving(pool, chosen, out)
	s.noteCrash(c, slot.Choice.Endpoint, out)
	p.take(out, chosen)
	s.reportAttempt(c, p)
	return nil
}

// heedLeaving takes an endpoint's word on its answer that it leaves, which may
// come long before its next load report. Its other load is left to the reports.
func (s *Server) heedLeaving(pool *Pool, endpointID string, out endpoint.Outcome) {
	if out.Load != nil && out.Load.Leaving {
		pool.Endpoints.Report(endpointID, routing.Load(*out.Load), s.options.Now())
	}
}

func (s *Server) newAttempt(c *call.Call, slot admission.Slot, permit *throttle.Permit, before sending, p *progress) endpoint.Attempt {
	sending := s.beforeSending(c, func() error {
		if err := s.options.Throttle.Sending(slot.Choice.Endpoint, permit, p.way(c)); err != nil {
			return err
		}
		if before == nil {
			return nil
		}
		return before()
	})
	if c.Kind == call.KindRouted {
		return s.routedAttempt(c, slot, sending, p)
	}
	n := s.attempts.Add(1)
	return endpoint.Attempt{
		ID:         c.ID + "." + s.options.VM + "." + strconv.FormatUint(n, attemptBase),
		AnswerID:   c.ID,
		Endpoint:   slot.Choice.Endpoint,
		Call:       c,
		ResumeFrom: p.delivered,
		Sending:    sending,
	}
}

// routedAttempt returns the attempt the caller's own id: one try of a client has
// one id, also where it is sent twice.
func (s *Server) routedAttempt(c *call.Call, slot admission.Slot, sending sending, p *progress) endpoint.Attempt {
	e, from := slot.Choice.Endpoint, s.options.Now()
	return endpoint.Attempt{
		ID:          c.ID,
		Endpoint:    e,
		Call:        c,
		ResumeAfter: p.lastEvent,
		FetchFrom:   slot.Choice.FetchFrom,
		Rated:       func(r fleet.Rate) { s.options.Throttle.Answered(e, r, from) },
		Sending:     sending,
	}
}

func (s *Server) reportAttempt(c *call.Call, p *progress) {
	if p.last.Code.Class() == result.ClassDone {
		return
	}
	traceAttempt(c, p)
	s.event(c, "attempt_failed", timeline.Event{
		Endpoint: p.outcome.Endpoint,
		Code:     p.last.Code,
	})
}

func (s *Server) mayRepeat(c *call.Call, p *progress) bool {
	if p.last.CallerGone {
		return false
	}
	a := retry.Attempt{
		Code:       p.last.Code,
		Sent:       p.last.Sent,
		Idempotent: c.Idempotent,
		Delivered:  p.delivered > 0,
		Resumable:  p.last.Resumable,
		Attempts:   p.history.Attempts,
		WholeBy:    c.WholeBy,
	}
	if c.Kind == call.KindRouted {
		a.Attempts, a.MaxAttempts = p.history.Routed(c.Routed.MaxAttempts)
	}
	verdict := s.decide(a, s.options.Now())
	traceVerdict(c, a, verdict)
	return verdict == retry.VerdictRetry || verdict == retry.VerdictResume
}

func (p *progress) admission(c *call.Call) admission.Request {
	r := admission.Request{
		Priority:     c.Priority,
		FirstBy:      c.FirstBy,
		WholeBy:      c.WholeBy,
		PrefixHash:   c.PrefixHash,
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		Turn:         int(c.Priority),
		Exclude:      p.excluded,
		Again:        p.last.Held != nil,
	}
	if c.Routed != nil {
		r.Prefixes = routing.Prefixes(c.Workspace, c.Routed.Parts)
		r.Homes = c.Routed.Homes
		r.Turn = c.Routed.Turn()
	}
	return r
}

// take adds an attempt's outcome to the call's.
func (p *progress) take(out endpoint.Outcome, endpointID string) {
	p.last = out
	p.excluded[p.history.Attempts%len(p.excluded)] = endpointID
	p.history.Take(out.Code, out.Sent)
	p.delivered += out.Delivered
	if out.LastEvent != "" {
		p.lastEvent = out.LastEvent
	}
	usage := p.outcome.Usage
	usage.PromptTokens += out.Usage.PromptTokens
	usage.CachedTokens += out.Usage.CachedTokens
	usage.GeneratedTokens += out.Usage.GeneratedTokens
	firstAt := p.outcome.FirstAt
	if firstAt.IsZero() {
		firstAt = out.FirstAt
	}
	p.outcome = call.Outcome{
		Code:     out.Code,
		Usage:    usage,
		FirstAt:  firstAt,
		Endpoint: endpointID,
	}
	p.explain()
}

// explain gives the outcome its refusal.
func (p *progress) explain() {
	if p.last.Code.Class() == result.ClassDone {
		return
	}
	code := p.history.Code(p.last.Code)
	p.outcome.Code = code
	p.outcome.Refusal = refusalOf(code, p.last)
}

func refusalOf(code result.Code, out endpoint.Outcome) *result.Refusal {
	info, _ := result.Lookup(code)
	refusal := result.Of(out.Err, code)
	if refusal.Code != code {
		refusal = result.Refuse(code, "%s", info.Meaning).Because(out.Err)
	}
	return refusal.Until(out.ComeBackAt)
}

// refusedAs is the outcome of a call that could not be sent, or not be gone on with.
func (p *progress) refusedAs(refusal *result.Refusal) call.Outcome {
	if p.history.Attempts == 0 {
		return call.Refused(refusal)
	}
	if p.outcome.Code.Class() == result.ClassNotRun {
		return call.Refused(refusal)
	}
	return p.outcome
}

// budgetSpent is the outcome where another attempt was possible but not allowed.
func (p *progress) budgetSpent() call.Outcome {
	if p.outcome.Code.Class() != result.ClassNotRun {
		return p.outcome
	}
	return call.Refused(result.Refuse(result.RetryBudget, "the endpoint refused and the retry budget is spent").Until(p.last.ComeBackAt))
}

// routingOutcome is what routing learns from. The endpoints of routed calls do
// not tell what they read, so that is taken from the choice.
func routingOutcome(out endpoint.Outcome, chosen routing.Choice) routing.Outcome {
	usage := out.Usage
	if usage.PromptTokens > 0 && usage.CachedTokens == 0 {
		usage.CachedTokens = min(chosen.Cached, usage.PromptTokens)
	}
	return routing.Outcome{
		Code:     out.Code,
		Usage:    usage,
		Sent:     out.Sent,
		Canceled: out.CallerGone,
		Answered: out.Held != nil,
		FirstAt:  out.FirstAt,
	}
}
