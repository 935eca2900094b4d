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
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// attemptIDBase is the numeric base of the counter in attempt ids.
const attemptIDBase = 36

// beforeSendFunc is called right before the first byte of an attempt is sent. An
// error, which is a refusal, aborts the attempt with nothing sent.
type beforeSendFunc func() error

// run reserves the call's cost, serves it in this region or in one with spare
// capacity, and settles the reservation by the actual usage.
func (s *Server) run(ctx context.Context, c *call.Call, terms Terms, sink call.Sink, beforeSend beforeSendFunc) call.Outcome {
	reservation, refusal := s.charge(ctx, c, terms)
	if refusal != nil {
		return call.Refused(refusal)
	}
	outcome := s.sendWithRetries(ctx, c, sink, beforeSend)
	if canOverflow(c, outcome) {
		outcome = s.overflow(ctx, c, terms, sink, outcome)
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
	s.options.Metrics.AddSpend(used.Spend)
	s.options.Ledger.Settle(reservation, used, now)
}

// progress accumulates the results of a call's attempts.
type progress struct {
	// excluded holds the endpoints of the last attempts, which the next one avoids.
	excluded [2]string
	history  retry.History
	budget   *retry.CallBudget
	// runsRequested is the number of runs beyond the first that the VM which sent the call
	// has granted.
	runsRequested int
	// delivered is the number of generated tokens passed to the caller.
	delivered int
	// pin is the software version that the caller has events of.
	pin fleet.VersionPin
	// lastEventID is the id of the last event of a routed stream that the caller received.
	lastEventID string
	outcome     call.Outcome
	lastAttempt endpoint.Outcome
}

// sendWithRetries serves the call on this region's endpoints. It retries only if
// nothing ran, or if the call is idempotent and its response was not started or can be
// resumed.
func (s *Server) sendWithRetries(ctx context.Context, c *call.Call, sink call.Sink, beforeSend beforeSendFunc) call.Outcome {
	p := progress{
		budget: s.newCallBudget(c),
	}
	defer func() { p.lastAttempt.ErrorResponse.Release() }()
	if c.Forwarded && c.Routed != nil && c.Routed.RetryGranted {
		p.budget.BeginGranted()
	} else if !p.budget.Begin() {
		c.Log.Fail("repeat_refused", slog.String("service", c.Target()))
		return call.Refused(result.Refuse(result.RetryBudget, "the retry budget is spent").WithRetryAt(s.options.Now().Add(defaultRetryAfter)))
	}
	for {
		if refusal := s.attemptOnce(ctx, c, sink, beforeSend, &p); refusal != nil {
			p.budget.End(false)
			return s.finish(&p, sink, p.outcomeOnRefusal(refusal))
		}
		if p.lastAttempt.Code.Class() == result.ClassDone || !s.shouldRetry(ctx, c, &p) {
			p.budget.End(p.lastAttempt.Sent)
			return s.finish(&p, sink, p.outcome)
		}
		if !p.requestRun(ctx, c) {
			c.Log.Fail("run_refused", slog.String("service", c.Target()))
			p.budget.End(p.lastAttempt.Sent)
			return s.finish(&p, sink, p.outcome)
		}
		if !p.budget.Allow(p.lastAttempt.Sent) {
			c.Log.Fail("repeat_refused", slog.String("service", c.Target()))
			return s.finish(&p, sink, p.outcomeOnBudgetExhausted())
		}
		s.options.Metrics.Retried()
	}
}

// requestRun asks the VM that sent the call for a further run, if all that it granted may be
// used up.
func (p *progress) requestRun(ctx context.Context, c *call.Call) bool {
	if c.Routed == nil || c.Routed.RequestRun == nil || p.history.MayHaveRun() <= p.runsRequested {
		return true
	}
	if !c.Routed.RequestRun(ctx) {
		return false
	}
	p.runsRequested++
	return true
}

// newCallBudget returns what the call takes from its target's retry budget on this VM.
func (s *Server) newCallBudget(c *call.Call) *retry.CallBudget {
	target, budget := c.Target(), s.options.Budget
	a := retry.Allowance{
		OnRequest: func() { budget.OnRequest(target) },
		Allow:     func() bool { return budget.Allow(target) },
		Now:       s.options.Now,
	}
	if budget.Return != nil {
		a.Return = func(grantedAt time.Time) { budget.Return(target, grantedAt) }
	}
	if budget.Covers != nil {
		a.Covers = func(grantedAt time.Time) bool { return budget.Covers(target, grantedAt) }
	}
	return retry.NewCallBudget(a, c.Routed != nil && c.Routed.Retry)
}

// finish passes the endpoint's own error response on if no retry follows.
func (s *Server) finish(p *progress, sink call.Sink, o call.Outcome) call.Outcome {
	o.EndpointsRun = p.history.MayHaveRun()
	o.Sent = p.history.Sent
	held := p.lastAttempt.ErrorResponse
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

// attemptOnce makes one attempt. A refusal means that nothing was sent.
func (s *Server) attemptOnce(ctx context.Context, c *call.Call, sink call.Sink, beforeSend beforeSendFunc, p *progress) *result.Refusal {
	if refusal := s.checkQuarantine(c); refusal != nil {
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
	s.addEvent(c, "call_admitted", timeline.Event{
		Endpoint: chosen,
	})
	attempt := s.newAttempt(c, slot, permit, beforeSend, p)
	sound := soundProgress{
		run: quarantine.Run{
			Subjects: c.Subjects,
			Endpoint: slot.Choice.Endpoint,
		},
	}
	attempt.OnFirstByte = func() {
		sound.run.BeganAt = s.options.Now()
		pool.Endpoints.FirstToken(slot.Choice, sound.run.BeganAt)
	}
	attempt.OnEventGap = func(gap time.Duration, tokens int, openAt time.Time) {
		pool.Endpoints.StreamProgress(slot.Choice, gap, tokens, s.options.Now())
		s.reportProgress(&sound, openAt)
	}
	out := s.sendInSlot(ctx, pool, slot, attempt, sink)
	s.reportDraining(pool, chosen, out)
	s.reportToQuarantine(c, slot.Choice.Endpoint, out)
	if out.Framing != "" {
		s.options.Metrics.CountEndpointAnswer(out.Framing, out.Code.Class() == result.ClassDone)
	}
	if out.RefusalProof != "" {
		s.options.Metrics.CountEndpointRefusal(out.RefusalProof)
	}
	s.options.Metrics.AddHeldEvents(out.HeldEvents)
	p.addAttempt(out, slot.Choice.Endpoint)
	s.reportAttempt(c, p)
	return nil
}

// reportDraining applies an endpoint's drain notice from its response, which may
// arrive well before the next load report. Other load figures come from reports only.
func (s *Server) reportDraining(pool *Pool, endpointID string, out endpoint.Outcome) {
	if out.Load != nil && out.Load.Leaving {
		pool.Endpoints.Report(endpointID, PoolLoad(*out.Load), s.options.Now())
	}
}

func (s *Server) newAttempt(c *call.Call, slot admission.Slot, permit *throttle.Permit, beforeSend beforeSendFunc, p *progress) endpoint.Attempt {
	checkedBeforeSend := s.withQuarantineCheck(c, func() error {
		if err := s.options.Throttle.UsePermit(slot.Choice.Endpoint, permit, p.attemptKind(c)); err != nil {
			return err
		}
		if beforeSend != nil {
			if err := beforeSend(); err != nil {
				return err
			}
		}
		if !p.budget.OnSend() {
			return result.Refuse(result.RetryBudget, "the retry budget was spent while the call waited").WithRetryAt(s.options.Now().Add(defaultRetryAfter))
		}
		return nil
	})
	if c.Kind == call.KindRouted {
		return s.routedAttempt(c, slot, checkedBeforeSend, p)
	}
	n := s.attempts.Add(1)
	return endpoint.Attempt{
		ID:               c.ID + "." + s.options.VM + "." + strconv.FormatUint(n, attemptIDBase),
		CallerResponseID: c.ID,
		Endpoint:         slot.Choice.Endpoint,
		Call:             c,
		ResumeFrom:       p.delivered,
		BeforeSend:       checkedBeforeSend,
	}
}

// routedAttempt keeps the caller's request id, so that all attempts at one request
// share an id.
func (s *Server) routedAttempt(c *call.Call, slot admission.Slot, beforeSend beforeSendFunc, p *progress) endpoint.Attempt {
	e, startedAt := slot.Choice.Endpoint, s.options.Now()
	return endpoint.Attempt{
		ID:          c.ID,
		Endpoint:    e,
		Call:        c,
		ResumeAfter: p.lastEventID,
		FetchFrom:   slot.Choice.FetchFrom,
		OnNotice:    func(notice endpoint.Notice) { s.options.Throttle.ObserveNotice(e, notice, startedAt) },
		BeforeSend:  beforeSend,
	}
}

func (s *Server) reportAttempt(c *call.Call, p *progress) {
	if p.lastAttempt.Code.Class() == result.ClassDone {
		return
	}
	traceAttempt(c, p)
	s.addEvent(c, "attempt_failed", timeline.Event{
		Endpoint: p.outcome.Endpoint,
		Code:     p.lastAttempt.Code,
	})
}

func (s *Server) shouldRetry(ctx context.Context, c *call.Call, p *progress) bool {
	if p.lastAttempt.CallerDisconnected {
		return false
	}
	if c.Kind == call.KindRouted && p.lastAttempt.Sent {
		s.restrictRuns(ctx, c, p.lastAttempt.Code)
	}
	a := retry.Attempt{
		Code:       p.lastAttempt.Code,
		Sent:       p.lastAttempt.Sent,
		Idempotent: c.Idempotent,
		Delivered:  p.delivered > 0,
		Resumable:  p.lastAttempt.Resumable,
		Attempts:   p.history.Attempts,
		WholeBy:    c.Deadline,
	}
	if c.Kind == call.KindRouted {
		a.Resumable = a.Resumable && c.Routed.Resumable && p.lastEventID != ""
		a.Attempts, a.MaxAttempts = p.history.AttemptsAndLimit(c.Routed.MaxAttempts)
	}
	verdict := s.decide(a, s.options.Now())
	traceVerdict(c, a, verdict)
	return verdict == retry.VerdictRetry || verdict == retry.VerdictResume
}

func (p *progress) admissionRequest(c *call.Call) admission.Request {
	r := admission.Request{
		Priority:           c.Priority,
		FirstTokenDeadline: c.FirstTokenDeadline,
		Deadline:           c.Deadline,
		PrefixHash:         c.PrefixHash,
		PromptTokens:       c.PromptTokens,
		MaxTokens:          c.MaxTokens,
		QueueLevel:         int(c.Priority),
		Exclude:            p.excluded,
		AllowExcluded:      p.lastAttempt.ErrorResponse != nil,
	}
	if c.Routed != nil {
		r.Prefixes = routing.Prefixes(c.Workspace, c.Routed.PromptParts)
		r.Homes = c.Routed.Homes
		r.QueueLevel = c.Routed.QueueLevel()
		r.AnswerTokens = c.Routed.AnswerTokens
		r.Pin = c.Routed.Pin
		if p.pin.Set {
			r.Pin = p.pin
		}
	}
	return r
}

// addAttempt merges an attempt's outcome into the call's.
func (p *progress) addAttempt(out endpoint.Outcome, e fleet.Endpoint) {
	p.lastAttempt.ErrorResponse.Release()
	p.lastAttempt = out
	p.excluded[p.history.Attempts%len(p.excluded)] = e.ID
	p.history.Record(out.Code, out.Sent)
	if p.delivered == 0 && out.Delivered > 0 {
		p.pin = fleet.PinTo(e.SoftwareVersion)
	}
	p.delivered += out.Delivered
	if out.LastEvent != "" {
		p.lastEventID = out.LastEvent
	}
	usage := p.outcome.Usage
	usage.PromptTokens += out.Usage.PromptTokens
	usage.CachedTokens += out.Usage.CachedTokens
	usage.GeneratedTokens += out.Usage.GeneratedTokens
	firstAt := p.outcome.FirstChunkAt
	if firstAt.IsZero() {
		firstAt = out.FirstByteAt
	}
	p.outcome = call.Outcome{
		Code:         out.Code,
		Usage:        usage,
		FirstChunkAt: firstAt,
		Endpoint:     e.ID,
	}
	p.setRefusal()
}

// setRefusal sets the refusal of an outcome that is not done.
func (p *progress) setRefusal() {
	if p.lastAttempt.Code.Class() == result.ClassDone {
		return
	}
	code := p.history.FinalCode(p.lastAttempt.Code)
	p.outcome.Code = code
	p.outcome.Refusal = refusalOf(code, p.lastAttempt)
}

func refusalOf(code result.Code, out endpoint.Outcome) *result.Refusal {
	info, _ := result.Lookup(code)
	refusal := result.FromError(out.Err, code)
	if refusal.Code != code {
		refusal = result.Refuse(code, "%s", info.Meaning).WithCause(out.Err)
	}
	return refusal.WithRetryAt(out.RetryAt)
}

// outcomeOnRefusal returns the refusal, unless an earlier attempt may have run.
func (p *progress) outcomeOnRefusal(refusal *result.Refusal) call.Outcome {
	if p.history.Attempts == 0 {
		return call.Refused(refusal)
	}
	if p.outcome.Code.Class() == result.ClassNotRun {
		return call.Refused(refusal)
	}
	return p.outcome
}

// outcomeOnBudgetExhausted returns the outcome of a call that could be retried but
// for the retry budget.
func (p *progress) outcomeOnBudgetExhausted() call.Outcome {
	if p.outcome.Code.Class() != result.ClassNotRun {
		return p.outcome
	}
	return call.Refused(result.Refuse(result.RetryBudget, "the endpoint refused and the retry budget is spent").WithRetryAt(p.lastAttempt.RetryAt))
}

// routingOutcome converts an attempt's outcome into routing's feedback. Endpoints of
// routed calls do not report cached tokens, so the router's estimate is used.
func routingOutcome(out endpoint.Outcome, chosen routing.Choice) routing.Outcome {
	usage := out.Usage
	if usage.PromptTokens > 0 && usage.CachedTokens == 0 {
		usage.CachedTokens = min(chosen.CachedTokens, usage.PromptTokens)
	}
	return routing.Outcome{
		Code:          out.Code,
		Usage:         usage,
		Sent:          out.Sent,
		Canceled:      out.CallerDisconnected,
		EndpointError: out.AnsweredError,
		FirstAt:       out.FirstByteAt,
	}
}
