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

func newPool(slots int) *routing.Pool {
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
		q := New(Options{}, newPool(1))
		held, refusal := q.Admit(t.Context(), Request{Priority: call.PriorityChat}, time.Now())
		assert.Assert(t, refusal == nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, refusal = q.Admit(ctx, Request{Priority: call.PriorityChat}, time.Now())
		assert.Equal(t, refusal.Code, result.DeadlinePassed)
		assert.Equal(t, q.Waiting(), [call.Priorities]int{})
		q.Release(held, routing.Outcome{
			Code: result.Done,
			Sent: true,
		}, time.Now())
		next, refusal := q.Admit(t.Context(), Request{Priority: call.PriorityReport}, time.Now())
		assert.Assert(t, refusal == nil)
		q.Release(next, routing.Outcome{
			Code: result.Done,
			Sent: true,
		}, time.Now())
	})
}

// TestAdmitWaits checks that a waiting call starts when a slot is released, and that a
// call is refused before its deadline once that cannot be met.
func TestAdmitWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Options{}, newPool(1))
		held, _ := q.Admit(t.Context(), Request{Priority: call.PriorityChat}, time.Now())
		begin := time.Now()
		given := make(chan time.Duration, 1)
		refused := make(chan *result.Refusal, 1)
		go func() {
			slot, refusal := q.Admit(t.Context(), Request{Priority: call.PriorityChat}, time.Now())
			assert.Check(t, refusal == nil)
			given <- time.Since(begin)
			q.Release(slot, routing.Outcome{
				Code: result.Done,
				Sent: true,
			}, time.Now())
		}()
		go func() {
			_, refusal := q.Admit(t.Context(), Request{
				Priority: call.PriorityReport,
				Deadline: begin.Add(4 * time.Second),
			}, time.Now())
			refused <- refusal
		}()
		refusal := <-refused
		assert.Equal(t, refusal.Code, result.DeadlineUnmeetable)
		assert.Assert(t, time.Now().Before(begin.Add(4*time.Second)))
		assert.Assert(t, refusal.RetryAt.After(time.Now()))
		time.Sleep(time.Until(begin.Add(5 * time.Second)))
		q.Release(held, routing.Outcome{
			Code: result.Done,
			Sent: true,
		}, time.Now())
		assert.Equal(t, <-given, 5*time.Second)
	})
}

func TestAdmitWithoutEndpoint(t *testing.T) {
	q := New(Options{}, routing.New(routing.Options{}))
	_, refusal := q.Admit(t.Context(), Request{Priority: call.PriorityUrgent}, time.Now())
	assert.Equal(t, refusal.Code, result.NoEndpoint)
	assert.Assert(t, refusal.RetryAt.After(time.Now()))
}

func TestAdmitSkipsExcludedEndpoint(t *testing.T) {
	q := New(Options{}, newPool(1))
	_, refusal := q.Admit(t.Context(), Request{Exclude: [2]string{"e0"}}, time.Now())
	assert.Equal(t, refusal.Code, result.NoEndpoint)
	slot, refusal := q.Admit(t.Context(), Request{}, time.Now())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, slot.Choice.Endpoint.ID, "e0")
}

func BenchmarkAdmit(b *testing.B) {
	q := New(Options{}, newPool(64))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			now := time.Now()
			slot, refusal := q.Admit(b.Context(), Request{Priority: call.PriorityChat}, now)
			if refusal == nil {
				q.Release(slot, routing.Outcome{
					Code: result.Done,
					Sent: true,
				}, now)
			}
		}
	})
}
