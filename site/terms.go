package site

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// updateTerms admits a call again if this VM has a newer routing table than the one that admitted
// it. It refuses a forwarded call that must not be served in this region.
func (n *Node) updateTerms(ctx context.Context, c *call.Call) *result.Refusal {
	table := n.control.snapshot().table
	if table != nil && table.Version > c.Routed.Version {
		mayRepeat := c.Idempotent
		if refusal := n.readmit(c, table); refusal != nil {
			return refusal
		}
		if mayRepeat && !c.Idempotent && c.Routed.RequestOnce != nil && !c.Routed.RequestOnce(ctx) {
			return result.Refuse(result.NotReady, "the VM that sent the call has an older table by which it may run again")
		}
	}
	if c.Forwarded && !c.Routed.Allows(n.deployment.Region) {
		return n.notServed()
	}
	return nil
}

// mayRepeat reports whether a call that may have run may run again by the routing table of now. After
// a pause the table may be out of date until the store, or another VM, has confirmed it.
func (n *Node) mayRepeat(ctx context.Context, c *call.Call) bool {
	if n.awaitFreshState(ctx) != nil || !n.isConfigurationFresh() {
		return false
	}
	table := n.control.snapshot().table
	if table == nil || table.Version <= c.Routed.Version {
		return true
	}
	found, ok := table.MatchTarget(c.Routed.Host, c.Path)
	return !ok || found.MayRepeat()
}

// readmit repeats admission under a newer table than the one that admitted the call: the key may
// have been revoked, or the route may lead to another service or forbid that the call runs again.
func (n *Node) readmit(c *call.Call, table *route.Table) *result.Refusal {
	path, _, _ := strings.Cut(c.Path, "?")
	terms, refusal := table.Admit(route.AdmitRequest{
		Host: c.Routed.Host,
		Path: path,
		Key:  c.Routed.Key,
	})
	if refusal != nil && refusal.Code == result.UnknownRoute && !c.Forwarded {
		// The route was there as the call arrived.
		return nil
	}
	if refusal != nil && refusal.Code != result.UnknownRoute {
		return refusal
	}
	service := ""
	if refusal == nil {
		service = readmittedService(c, terms.Route)
	}
	if service == "" {
		return result.Refuse(result.NotReady, "VM %s has a newer table without the route", n.deployment.VM)
	}
	if c.Routed.Retry && c.Idempotent && !terms.Route.MayRepeat() {
		return result.Refuse(result.RepeatForbidden, "VM %s has a newer table by which the call may run once", n.deployment.VM)
	}
	c.Log.Add("call_readmitted",
		slog.Uint64("from_version", c.Routed.Version),
		slog.Uint64("to_version", table.Version),
		slog.String("from_service", c.Service),
		slog.String("to_service", service),
		slog.String("from_route", c.Routed.Route),
		slog.String("to_route", terms.Route.Name),
		slog.Bool("was_idempotent", c.Idempotent),
		slog.String("to_kind", string(terms.Route.Kind)),
	)
	c.ReplaceTerms(terms, service)
	return nil
}

// readmittedService returns the service to which a call goes under another route, empty if there
// is none. A stream that another endpoint has begun goes on at the same service.
func readmittedService(c *call.Call, found *route.Route) string {
	switch {
	case found.Serves(c.Service):
		return c.Service
	case c.Routed.Pin.Set:
		return ""
	default:
		return found.PickService(rand.Uint64())
	}
}
