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

// TestStoppingForwards checks that a draining VM forwards only calls with a ticket, as
// only the ticket's executor knows whether they ran.
func TestStoppingForwards(t *testing.T) {
	for _, tc := range []struct {
		name   string
		ticket string
		want   result.Code
	}{
		{name: "chat", want: result.Stopping},
		{name: "ticket", ticket: "t", want: result.Done},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New(Options{
				Now:     time.Now,
				Metrics: metrics.New(),
				Timeline: timeline.New(timeline.Options{
					Capacity: 8,
					Now:      time.Now,
				}),
				Forward: func(context.Context, fleet.VM, *call.Call, call.Sink) call.Outcome {
					return call.Outcome{Code: result.Done}
				},
			})
			s.Stop()
			c := &call.Call{
				Idempotent: tc.ticket == "",
				Ticket:     tc.ticket,
			}
			o := s.Serve(t.Context(), c, Placement{Kind: PlaceForward}, call.Sink{})
			assert.Equal(t, o.Code, tc.want)
		})
	}
}
