package site

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
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
