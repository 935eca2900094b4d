package serving

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// crashCase is one row of testdata/crashes.json.
type crashCase struct {
	Name string
	// Admits are the answers to successive quarantine checks: "yes", "no" or "trial".
	// All must be consumed.
	Admits []string
	// Cuts is the number of attempts that break off before the rest are answered.
	Cuts     int64
	WantSent int64       `json:"want_sent"`
	WantCode result.Code `json:"want_code"`
	// WantTold lists the reported ends of attempts.
	WantTold string `json:"want_told"`
}

// TestCrashes checks that quarantined calls reach no endpoint, and what is reported
// about each attempt.
func TestCrashes(t *testing.T) {
	for _, c := range datatest.Read[[]crashCase](t, "testdata/crashes.json") {
		t.Run(c.Name, func(t *testing.T) {
			var sent atomic.Int64
			var reported []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if sent.Add(1) <= c.Cuts {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			}))
			defer server.Close()
			admits := c.Admits
			s := New(Options{
				Now:      time.Now,
				VM:       "a",
				Pool:     poolOf(2, server.Listener.Addr().String()),
				Endpoint: endpoint.New(endpoint.Options{}),
				Budget:   budgetOf(retry.NewBudget(1)),
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
				Quarantine: Quarantine{
					Admit: func(uint64) (*result.Refusal, bool) {
						next := admits[0]
						admits = admits[1:]
						if next == "no" {
							return result.Refuse(result.Quarantined, "held"), false
						}
						return nil, next == "trial"
					},
					ConnectionLost: func(uint64, fleet.Endpoint, time.Time) { reported = append(reported, "cut") },
					Succeeded:      func(uint64) { reported = append(reported, "ended_well") },
				},
			})
			out := s.sendWithRetries(t.Context(), &call.Call{
				ID:         "x",
				Kind:       call.KindService,
				Service:    service,
				Method:     http.MethodGet,
				Path:       "/look",
				Idempotent: true,
				Deadline:   time.Now().Add(time.Minute),
			}, call.Sink{
				Head:  func(int, http.Header) error { return nil },
				Chunk: func([]byte) error { return nil },
			}, nil)
			assert.Equal(t, out.Code, c.WantCode)
			assert.Equal(t, sent.Load(), c.WantSent)
			assert.Equal(t, strings.Join(reported, " "), c.WantTold)
			assert.Equal(t, len(admits), 0)
		})
	}
}

// TestHeldAtArrival checks that a quarantined call is refused before it is placed,
// also if another VM forwarded it.
func TestHeldAtArrival(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		s := New(Options{
			Now:      time.Now,
			VM:       "a",
			Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
			Metrics:  metrics.New(),
			Quarantine: Quarantine{
				Admit: func(uint64) (*result.Refusal, bool) { return result.Refuse(result.Quarantined, "held"), false },
			},
		})
		c := routedTestCall(routedCase{Idempotent: true})
		c.Forwarded = forwarded
		out := s.Serve(t.Context(), c, Placement{Kind: PlaceHere}, call.Sink{})
		assert.Equal(t, out.Code, result.Quarantined)
	}
}
