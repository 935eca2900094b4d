package serving

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// throttleCase is a call to a pool in which some endpoints refuse permits.
type throttleCase struct {
	Name string
	// Takes are the answers to successive permit requests: "yes", "no", or "late" for a
	// permit that has expired when it is used.
	Takes []string
	// Fails is the number of requests that endpoints refuse.
	Fails    int64
	WantSent int64       `json:"want_sent"`
	WantCode result.Code `json:"want_code"`
	WantWays string      `json:"want_ways"`
	// ComesBack is set if the refusal must carry the time at which an endpoint opens.
	ComesBack bool `json:"comes_back"`
}

// TestThrottle checks that each request is sent with a permit of its own, and that a
// call without one moves to another endpoint or is refused at once.
func TestThrottle(t *testing.T) {
	for _, c := range datatest.Read[[]throttleCase](t, "testdata/throttle.json") {
		t.Run(c.Name, c.test)
	}
}

func (c throttleCase) test(t *testing.T) {
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if sent.Add(1) <= c.Fails {
			w.Header().Set("X-Run", "none")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	opensAt := time.Now().Add(time.Minute)
	takes := c.Takes
	var ways []string
	late := &throttle.Permit{}
	s := New(Options{
		Now:      time.Now,
		VM:       "a",
		Pool:     poolOf(len(c.Takes), server.Listener.Addr().String()),
		Endpoint: endpoint.New(endpoint.Options{}),
		Budget:   budgetOf(retry.NewBudget(1)),
		Throttle: Throttle{
			Take: func(context.Context, fleet.Endpoint) (*throttle.Permit, time.Time) {
				take := takes[0]
				takes = takes[1:]
				switch take {
				case "no":
					return nil, opensAt
				case "late":
					return late, time.Time{}
				default:
					return &throttle.Permit{Until: opensAt}, time.Time{}
				}
			},
			UsePermit: func(_ fleet.Endpoint, p *throttle.Permit, way throttle.RequestKind) error {
				if p == late {
					return result.Refuse(result.LimitEndpoint, "too late")
				}
				ways = append(ways, string(way))
				return nil
			},
			CallerRetryAt: func(_ string, ids []string, at time.Time) time.Time {
				assert.Assert(t, len(ids) > 0)
				return at
			},
		},
		Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
		Metrics:  metrics.New(),
	})
	out := s.sendWithRetries(t.Context(), &call.Call{
		ID:         "x",
		Kind:       call.KindService,
		Service:    "s",
		Method:     http.MethodGet,
		Path:       "/",
		Idempotent: true,
		Deadline:   time.Now().Add(time.Minute),
	}, call.Sink{
		Head:  func(int, http.Header) error { return nil },
		Chunk: func([]byte) error { return nil },
	}, nil)
	assert.Equal(t, out.Code, c.WantCode)
	assert.Equal(t, sent.Load(), c.WantSent)
	assert.Equal(t, strings.Join(ways, " "), c.WantWays)
	assert.Equal(t, len(takes), 0)
	if c.ComesBack {
		var refusal *result.Refusal
		assert.Assert(t, errors.As(out.Refusal, &refusal))
		assert.Equal(t, refusal.RetryAt, opensAt)
	}
}

// poolOf returns a pool of count endpoints at one address.
func poolOf(count int, addr string) func(string) (*Pool, bool) {
	endpoints := routing.New(routing.Options{})
	var list []fleet.Endpoint
	for i := range count {
		list = append(list, fleet.Endpoint{
			ID:    string(rune('a' + i)),
			Addr:  addr,
			Slots: 4,
			State: fleet.StateLive,
		})
	}
	endpoints.SetEndpoints(list, time.Now())
	pool := &Pool{
		Endpoints: endpoints,
		Queue: admission.New(admission.Options{
			Length: 4,
		}, endpoints),
	}
	return func(string) (*Pool, bool) { return pool, true }
}
