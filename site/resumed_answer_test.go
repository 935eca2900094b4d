package site

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestStreamGoesOnPastOtherAnswer guards against a resumable stream that ends, as if its caller had
// left, because the endpoint that was to resume it gives another answer, though a third VM could go
// on with it.
func TestStreamGoesOnPastOtherAnswer(t *testing.T) {
	f := startForwardingVMs(t)
	f.refuseResume.Store(true)
	f.start(t, "d", "r1", freeAddr(t))
	a := f.vms["a"].node
	events := make(chan []byte, 100)
	outcome := make(chan call.Outcome, 1)
	go func() {
		outcome <- a.serve(t.Context(), &call.Call{
			ID:         "a",
			Kind:       call.KindRouted,
			Service:    "s",
			Method:     http.MethodPost,
			Path:       "/resumable/x?ms=3500",
			Header:     http.Header{"X-Fuchsianotch-Attempt-Id": {"a"}},
			Stream:     true,
			Idempotent: true,
			Deadline:   a.now().Add(20 * time.Second),
			Routed: &call.Routed{
				Host:        "h",
				Route:       "resumable",
				Version:     1,
				Resumable:   true,
				MaxAttempts: 4,
			},
		}, call.Sink{
			Version: func(string) {},
			Head:    func(int, http.Header) error { return nil },
			Chunk: func(data []byte) error {
				events <- data
				return nil
			},
		})
	}()
	<-events
	f.introduce("c")
	f.introduce("d")
	waitFor(t, func() bool { return len(a.control.snapshot().members.AcceptingVMs("r1")) == 3 })
	f.vms["b"].stop()
	out := <-outcome
	assert.Check(t, out.Code == result.Done, "%v", out.Refusal)
	assert.Check(t, f.runs.Load() == 3, "%d runs", f.runs.Load())
}
