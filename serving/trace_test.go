package serving

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/logs"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// TestLinesNameForwardVM guards against a forwarded call whose lines don't say which VM had it.
func TestLinesNameForwardVM(t *testing.T) {
	var out strings.Builder
	s := New(Options{
		Now: time.Now,
		VM:  "a",
		PlaceRouted: func(_ context.Context, _ *call.Call, tried []fleet.VM) (fleet.VM, bool, *result.Refusal) {
			return fleet.VM{ID: []string{"b", "c"}[len(tried)], Region: "r"}, true, nil
		},
		Forward: func(_ context.Context, vm fleet.VM, _ *call.Call, _ call.Sink) call.Outcome {
			if vm.ID == "b" {
				return call.Outcome{
					Code:         result.PeerLost,
					Refusal:      result.Refuse(result.PeerLost, "VM b was lost"),
					EndpointsRun: 1,
				}
			}
			return call.Outcome{
				Code:     result.EndpointTimeout,
				Refusal:  result.Refuse(result.EndpointTimeout, "the answer did not end in time"),
				Endpoint: "i-0",
			}
		},
		Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
		Metrics:  metrics.New(),
	})
	c := routedTestCall(routedCase{
		Idempotent: true,
	})
	c.Routed.MaxAttempts = 3
	c.Log = logs.NewRequestLog(slog.New(slog.NewTextHandler(&out, nil)), c.ID, false)
	s.Serve(t.Context(), c, Placement{Kind: PlaceHere}, call.Sink{
		Head:  func(int, http.Header) error { return nil },
		Chunk: func([]byte) error { return nil },
	})
	for _, line := range []string{
		`msg=attempt_failed request=x peer=b endpoint="" code=3011`,
		`msg=attempt_failed request=x peer=c endpoint=i-0 code=3002`,
		`msg=call_ended request=x code=3002 endpoint=i-0 peer=c took_ms=`,
	} {
		assert.Assert(t, strings.Contains(out.String(), line), "%s not in %s", line, out.String())
	}
}
