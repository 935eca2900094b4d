package endpoint

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// dialShare is the part of the time until the first token that one connection may take, so that
// another endpoint can be tried.
const dialShare = 2

// dialDeadlineKey is the context key of the time until which a connection must be open. The
// transport keeps the values of a request's context for the dial, but not its deadline.
type dialDeadlineKey struct{}

// withDialDeadline bounds the dial of an attempt under a contract. Routed calls are bounded by
// dialTimeout alone.
func (x *exchange) withDialDeadline(ctx context.Context) context.Context {
	c, now := x.attempt.Call, x.client.now()
	if c.Kind == call.KindRouted || !c.FirstTokenDeadline.After(now) {
		return ctx
	}
	return context.WithValue(ctx, dialDeadlineKey{}, now.Add(c.FirstTokenDeadline.Sub(now)/dialShare))
}

func dialDeadline(ctx context.Context) (by time.Time, ok bool) {
	by, ok = ctx.Value(dialDeadlineKey{}).(time.Time)
	return by, ok
}
