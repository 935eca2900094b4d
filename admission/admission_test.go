package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

func onePool(slots int) *routing.Pool {
	p := routing.New(routing.Options{})
	p.SetEndpoints([]fleet.Endpoint{{
		ID:    "e0",
		Slots: slots,
		State: fleet.StateLive,
	}}, time.Now())
	return p
}

func TestAdmitCancelLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{}, onePool(1))
		held, refusal := q.Admit(t.Context(), Request{Priority: call.PriorityChat}, time.Now())
		assert.Assert(t, refusal == nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, refusal = q.Admit(ctx, Request{Priority: call.PriorityChat}, time.Now())
		assert.Equal(t, refusal.Code, result.DeadlinePassed)
		assert.Equal(t, q.Waiting(), [call.Priorities]int{})
		q.Release(held, routing.Outcome{Code: result.Done, Sent: true}, time.Now())
		next, refusal := q.Admit(t.Context(), Request{Priority: call.PriorityReport}, time.Now())
		assert.Assert(t, refusal == nil)
		q.Release(next, routing.Outcome{Code: result.Done, Sent: true}, time.Now())
	})
}
