package serving

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// TestSenderGrantsRetry guards against a call that a stop has cut off and that a VM which has just
// started refuses, against retries that no budget has granted, and against those that a call which
// was not sent keeps.
func TestSenderGrantsRetry(t *testing.T) {
	for _, row := range []struct {
		name    string
		stopped bool
		left    bool
		sent    bool
		// code is that of the second VM; zero means done if the call was sent and stopping otherwise.
		code result.Code
		// want says that the second VM need not grant the retry, kept that the sender's is used.
		want, kept bool
	}{
		{name: "cut off by a stop", stopped: true, left: true, sent: true, want: true, kept: true},
		{name: "refused by the next VM", stopped: true, left: true, want: true},
		{name: "sent there and refused by an endpoint", stopped: true, left: true, sent: true, code: result.EndpointRefused, want: true, kept: true},
		{name: "lost with the next VM, which may have sent it", stopped: true, left: true, code: result.PeerLost, want: true, kept: true},
		{name: "nothing left", stopped: true, sent: true},
		{name: "lost with its VM", left: true, sent: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			granted, returned, places := 0, 0, 0
			s := New(Options{
				Now: time.Now,
				VM:  "a",
				Budget: Budget{
					Allow: func(string) bool {
						if row.left {
							granted++
						}
						return row.left
					},
					Return: func(string, time.Time) { returned++ },
				},
				PlaceRouted: func(_ context.Context, _ *call.Call, tried []fleet.VM) (fleet.VM, bool, *result.Refusal) {
					if len(tried) == 2 {
						return fleet.VM{}, false, result.Refuse(result.NoEndpoint, "none")
					}
					return fleet.VM{ID: "b", Incarnation: uint64(len(tried)), Region: "r"}, true, nil
				},
				Forward: func(_ context.Context, _ fleet.VM, c *call.Call, _ call.Sink) call.Outcome {
					places++
					if places == 1 {
						assert.Assert(t, !c.Routed.RetryGranted)
						o := call.Refused(result.Refuse(result.PeerLost, "stopped"))
						o.VMStopped = row.stopped
						return o
					}
					assert.Equal(t, c.Routed.RetryGranted, row.want)
					if row.code != 0 {
						o := call.Refused(result.Refuse(row.code, "at the second VM"))
						o.Sent = row.sent
						return o
					}
					if !row.sent {
						return call.Refused(result.Refuse(result.Stopping, "stopping"))
					}
					return call.Outcome{Code: result.Done, Sent: true}
				},
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
			})
			s.Serve(t.Context(), routedTestCall(routedCase{Idempotent: true}), Placement{Kind: PlaceHere}, call.Sink{})
			assert.Equal(t, places, 2)
			assert.Equal(t, granted-returned == 1, row.kept)
		})
	}
}

// TestGrantedRetryTakesNone guards against a call that takes a retry from the budgets of two VMs.
func TestGrantedRetryTakesNone(t *testing.T) {
	s := New(Options{
		Now:      time.Now,
		VM:       "b",
		Budget:   Budget{Allow: func(string) bool { return false }},
		Pool:     func(string) (*Pool, bool) { return nil, false },
		Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
		Metrics:  metrics.New(),
	})
	c := routedTestCall(routedCase{Idempotent: true})
	c.Forwarded = true
	c.Routed.Retry = true
	c.Routed.RetryGranted = true
	out := s.Serve(t.Context(), c, Placement{Kind: PlaceHere}, call.Sink{})
	assert.Equal(t, out.Code, result.NoEndpoint)
}

// TestRetryThatWaitedIsGrantedAnew guards against a retry that is sent long after it was granted,
// though the budget has none left by then.
func TestRetryThatWaitedIsGrantedAnew(t *testing.T) {
	for _, left := range []int{1, 2} {
		cl := newCluster(t, []string{"refuse", "stream 8"})
		granted, returned := 0, 0
		o := cl.processes[0].server.options
		o.Budget = Budget{
			OnRequest: func(string) {},
			Allow: func(string) bool {
				granted++
				return granted <= left
			},
			Return: func(string, time.Time) { returned++ },
			Covers: func(string, time.Time) bool { return false },
		}
		request := &callerRequest{}
		out := New(o).Serve(t.Context(), cl.newCall("chat", "chat"), cl.localPlacement(), request.sink())
		assert.Equal(t, out.Code.Class() == result.ClassDone, left == 2, "%v", out.Refusal)
		assert.Equal(t, granted, 2)
		assert.Equal(t, returned, 1)
	}
}

// TestCutOffEndsWithOtherFailure guards against a call that waits for a VM that restarts although
// one that was up has refused it, or was lost without a stop.
func TestCutOffEndsWithOtherFailure(t *testing.T) {
	for _, row := range []struct {
		name    string
		stopped bool
		second  result.Code
		want    bool
	}{
		{name: "the next VM is stopping", stopped: true, second: result.Stopping, want: true},
		{name: "the next VM is gone", stopped: true, second: result.PeerUnreachable, want: true},
		{name: "the next VM has no room", stopped: true, second: result.QueueFull},
		{name: "an endpoint of the next VM refuses", stopped: true, second: result.EndpointRefused},
		{name: "the next VM is lost", stopped: true, second: result.PeerLost},
		{name: "the first VM was lost", second: result.Stopping},
	} {
		t.Run(row.name, func(t *testing.T) {
			places, cutOff := 0, false
			s := New(Options{
				Now: time.Now,
				VM:  "a",
				Budget: Budget{
					Allow: func(string) bool { return false },
				},
				PlaceRouted: func(_ context.Context, c *call.Call, tried []fleet.VM) (fleet.VM, bool, *result.Refusal) {
					if len(tried) == 2 {
						cutOff = c.Routed.CutOff
						return fleet.VM{}, false, result.Refuse(result.NoEndpoint, "none")
					}
					return fleet.VM{ID: "b", Incarnation: uint64(len(tried)), Region: "r"}, true, nil
				},
				Forward: func(context.Context, fleet.VM, *call.Call, call.Sink) call.Outcome {
					places++
					if places == 1 {
						o := call.Refused(result.Refuse(result.PeerLost, "stopped"))
						o.VMStopped = row.stopped
						return o
					}
					return call.Refused(result.Refuse(row.second, "at the second VM"))
				},
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
			})
			c := routedTestCall(routedCase{Idempotent: true})
			c.Routed.MaxAttempts = 4
			out := s.Serve(t.Context(), c, Placement{Kind: PlaceHere}, call.Sink{})
			assert.Equal(t, places, 2)
			assert.Equal(t, cutOff, row.want)
			// It may have run at the first VM.
			assert.Equal(t, out.Code, result.PeerLost)
		})
	}
}
