package serving

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// TestPanicOfSinkReleasesSlot guards against slots that stay taken after a call whose answer
// could not be written.
func TestPanicOfSinkReleasesSlot(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Fuchsianotch-Attempt-Id", r.Header.Get("X-Fuchsianotch-Attempt-Id"))
		w.Header().Set("X-Fuchsianotch-Response-Stamp", "x")
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	pool := poolOf(1, server.Listener.Addr().String())
	s := New(Options{
		Now:      time.Now,
		VM:       "a",
		Pool:     pool,
		Endpoint: endpoint.New(endpoint.Options{Dialect: platform.Dialect()}),
		Budget:   budgetOf(retry.NewBudget(1)),
		Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
		Metrics:  metrics.New(),
	})
	send := func(head func(int, http.Header) error) call.Outcome {
		c := routedTestCall(routedCase{Idempotent: true})
		c.Stream = false
		c.Method = http.MethodGet
		c.Path = "/look"
		c.Header = http.Header{"X-Fuchsianotch-Attempt-Id": []string{c.ID}}
		c.Deadline = time.Now().Add(time.Second)
		return s.sendWithRetries(t.Context(), c, call.Sink{
			Head:  head,
			Chunk: func([]byte) error { return nil },
		}, nil)
	}
	for range 8 {
		func() {
			defer func() { assert.Assert(t, recover() != nil) }()
			send(func(int, http.Header) error { panic("invalid WriteHeader code 99") })
		}()
	}
	out := send(func(int, http.Header) error { return nil })
	assert.Equal(t, out.Code, result.Done, "%v", out.Refusal)
}
