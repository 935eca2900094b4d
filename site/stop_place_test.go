package site

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/shutdown"
)

// TestCutOffWaitIsRefusedAsStopping guards against a stopping VM that tells the caller of a stream
// to begin anew because the stop has cut the search for its origin short.
func TestCutOffWaitIsRefusedAsStopping(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(smallFleet, func() time.Time { return now })
	n.stopState.cancelCalls(call.ErrStopping)
	out := n.serve(n.stopState.callsCtx, &call.Call{
		ID:         "x",
		Kind:       call.KindRouted,
		Service:    "s",
		Stream:     true,
		Idempotent: true,
		Deadline:   now.Add(time.Minute),
		Routed: &call.Routed{
			Host:        "h",
			ArrivedAt:   now,
			Resumable:   true,
			ResumeAfter: "3",
			Resumes:     "begun-elsewhere",
			MaxAttempts: 1,
		},
	}, call.Sink{
		Head:  func(int, http.Header) error { return nil },
		Chunk: func([]byte) error { return nil },
	})
	assert.Equal(t, out.Code, result.Stopping, "%v", out.Refusal)
}

// TestStoppingVMPassesNoCallOn guards against a stopping VM that sends a call which did not run at
// one VM to another one, though it is not expected to end before its own stop.
func TestStoppingVMPassesNoCallOn(t *testing.T) {
	for _, row := range datatest.Read[[]struct {
		Name string
		// Cutoff is the end of the stop, in milliseconds from now; zero without a stop.
		Cutoff int
		// First is set if no VM had the call before.
		First bool
		// Deadline is that of the call, Sent says that an endpoint may have had it.
		Deadline   int
		Sent       bool
		Idempotent bool
		Want       result.Code
	}](t, "testdata/stop_place.json") {
		t.Run(row.Name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			n := newFleetNode(fleetSize{vms: 3, engines: 4}, func() time.Time { return now })
			if row.Cutoff > 0 {
				cutoff := now.Add(time.Duration(row.Cutoff) * time.Millisecond)
				n.stopState.planned.Store(&shutdown.Stop{
					Cutoff:         cutoff,
					DeadlineOnlyAt: cutoff,
				})
			}
			tried := []fleet.VM{{ID: "vm-1", Incarnation: 1}}
			if row.First {
				tried = nil
			}
			_, _, refusal := n.place(t.Context(), &call.Call{
				Kind:       call.KindRouted,
				Service:    "s",
				Idempotent: row.Idempotent,
				Deadline:   now.Add(time.Duration(row.Deadline) * time.Millisecond),
				Routed: &call.Routed{
					Host:        "h",
					Route:       "once",
					ArrivedAt:   now,
					Retry:       row.Sent,
					MaxAttempts: 2,
				},
			}, tried)
			got := result.Code(0)
			if refusal != nil {
				got = refusal.Code
			}
			assert.Equal(t, got, row.Want, "%v", refusal)
		})
	}
}

// TestFailureBeforeCutOffIsNotFinal guards against a forwarded call that ends as its endpoint's
// failure though only the stop kept it from being tried again.
func TestFailureBeforeCutOffIsNotFinal(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(smallFleet, func() time.Time { return now })
	for _, row := range []struct {
		code, want result.Code
		cause      error
	}{
		{code: result.VMStopped, cause: call.ErrStopping, want: result.PeerLost},
		{code: result.EndpointFailed, cause: call.ErrStopping, want: result.PeerLost},
		{code: result.AnswerCrossed, cause: call.ErrStopping, want: result.PeerLost},
		{code: result.EndpointFailed, cause: context.Canceled, want: result.EndpointFailed},
		{code: result.Stopping, cause: call.ErrStopping, want: result.Stopping},
		{code: result.Done, cause: call.ErrStopping, want: result.Done},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(row.cause)
		o := n.asLostIfStopped(ctx, call.Outcome{
			Code:         row.code,
			EndpointsRun: 1,
		})
		assert.Equal(t, o.Code, row.want)
		assert.Equal(t, o.EndpointsRun, 1)
	}
}

// TestRestartedVMMayServe guards against a call that finds no place because the only VM of a region
// has restarted under its name, and against one that goes to the same process twice.
func TestRestartedVMMayServe(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(smallFleet, func() time.Time { return now })
	for _, row := range []struct {
		restarted bool
		want      bool
	}{
		{restarted: false, want: false},
		{restarted: true, want: true},
	} {
		var tried []fleet.VM
		for _, vm := range n.control.snapshot().members.AcceptingVMs("r1") {
			if row.restarted {
				vm.Incarnation--
			}
			tried = append(tried, vm)
		}
		vm, found := pickVM(n.control.snapshot().members.AcceptingVMs("r1"), tried)
		assert.Equal(t, found, row.want)
		assert.Equal(t, vm.Incarnation > 0, row.want)
	}
}
