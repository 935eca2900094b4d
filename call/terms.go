package call

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// defaultTimeout applies to routes without a timeout.
const defaultTimeout = time.Minute

// SetTerms sets everything that follows from a call's route, so that all of it is of one version
// of the routing table. The call goes to one of the services of the route.
func (c *Call) SetTerms(a route.Admission, service string) {
	found, r := a.Route, c.Routed
	c.Service = service
	c.Workspace = ""
	if a.Workspace != nil {
		c.Workspace = a.Workspace.Name
	}
	if a.Table.RequiresKey() {
		c.Header.Del(apikey.Header)
	}
	c.Stream = found.Kind == route.KindStream
	c.Idempotent = found.MayRepeat()
	c.Priority = min(Priority(max(a.Rank, 0)), PriorityReport)
	c.PrefixHash = SharedPrefix(c.Workspace, r.PromptParts)
	r.Route = found.Name
	r.Version = a.Table.Version
	r.Rank = a.Rank
	r.MaxAttempts = found.MaxAttempts
	r.Resumable = found.Resumable
	r.Homes = a.Homes
	r.MaxEventGap = found.Gap
	configured, _ := a.Table.Service(service)
	r.TokensPerEvent = configured.TokensPerEvent
	c.setDeadlines(found)
}

// ReplaceTerms sets the terms of a call that was admitted under another version. What may run once
// under either version runs once, and the limit of attempts, from which those already made may be
// taken, is not raised.
func (c *Call) ReplaceTerms(a route.Admission, service string) {
	mayRepeat, attempts := c.Idempotent, c.Routed.MaxAttempts
	c.SetTerms(a, service)
	c.Routed.MaxAttempts = min(c.Routed.MaxAttempts, attempts)
	if !mayRepeat {
		c.RunOnce()
	}
}

// RunOnce forbids further runs of a call.
func (c *Call) RunOnce() {
	c.Idempotent = false
	c.Routed.Resumable = false
}

// setDeadlines derives the deadlines from a route. Those of a call whose time of arrival is not
// known stay.
func (c *Call) setDeadlines(found *route.Route) {
	r := c.Routed
	if r.ArrivedAt.IsZero() {
		return
	}
	c.Deadline = RouteDeadline(found, r.ArrivedAt, r.CallerDeadline)
	c.FirstTokenDeadline = time.Time{}
	if found.Objective > 0 {
		c.FirstTokenDeadline = r.ObjectiveFrom.Add(found.Objective)
	}
}

// RouteDeadline returns the earlier of the caller's deadline, if that is not zero, and the end of
// the route's timeout for a call that arrived at a time.
func RouteDeadline(found *route.Route, arrivedAt, callerDeadline time.Time) time.Time {
	timeout := defaultTimeout
	if found.Timeout > 0 {
		timeout = found.Timeout
	}
	by := arrivedAt.Add(timeout)
	if !callerDeadline.IsZero() && callerDeadline.Before(by) {
		return callerDeadline
	}
	return by
}
