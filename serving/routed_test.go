package serving

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// routedPlace is the scripted behaviour of one VM.
type routedPlace struct {
	VM     string
	Status int
	From   int
	Events int
	// Then follows the events.
	Then string
	Code result.Code
	// Sent is set if an attempt reached an endpoint on the VM.
	Sent bool
	// WantResume and WantRepeated are the expected fields of the call sent to the VM.
	WantResume   string `json:"want_resume"`
	WantRepeated bool   `json:"want_repeated"`
	// Ran is the number of endpoints that ran the call on the VM, WantAttempts the expected
	// limit in the call; zero is not checked.
	Ran          int
	WantAttempts int `json:"want_attempts"`
	// Version is the software version of the endpoint that answers, "none" if the VM does not
	// tell it; WantPin is the only version that the call sent to the VM allows.
	Version string
	WantPin string `json:"want_pin"`
}

type routedCase struct {
	Name       string
	Idempotent bool
	Resumable  bool
	Places     []routedPlace
	WantCode   result.Code `json:"want_code"`
	WantEvents int         `json:"want_events"`
	WantThen   string      `json:"want_then"`
	WantSent   []string    `json:"want_sent"`
}

// TestRouted checks failover between places, in particular that streams continue
// without loss and that unsafe retries do not happen.
func TestRouted(t *testing.T) {
	for _, c := range datatest.Read[[]routedCase](t, "testdata/routed.json") {
		t.Run(c.Name, func(t *testing.T) {
			var sent []string
			s := New(Options{
				Now: time.Now,
				VM:  "a",
				PlaceRouted: func(_ context.Context, _ *call.Call, tried []fleet.VM) (fleet.VM, bool, *result.Refusal) {
					if len(tried) >= len(c.Places) {
						return fleet.VM{}, false, result.Refuse(result.NoEndpoint, "none")
					}
					return fleet.VM{ID: c.Places[len(tried)].VM, Region: "r"}, true, nil
				},
				Forward: func(_ context.Context, vm fleet.VM, sentCall *call.Call, sink call.Sink) call.Outcome {
					place := c.Places[len(sent)]
					sent = append(sent, vm.ID)
					assert.Equal(t, sentCall.Routed.ResumeAfter, place.WantResume)
					assert.Equal(t, sentCall.Routed.Retry, place.WantRepeated)
					assert.Equal(t, sentCall.Routed.Pin.Version, place.WantPin)
					if place.WantAttempts > 0 {
						assert.Equal(t, sentCall.Routed.MaxAttempts, place.WantAttempts)
					}
					out := place.serve(sink)
					out.EndpointsRun = place.Ran
					out.Sent = place.Sent
					return out
				},
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
			})
			var got strings.Builder
			heads := 0
			out := s.Serve(t.Context(), routedTestCall(c), Placement{Kind: PlaceHere}, call.Sink{
				Head: func(int, http.Header) error {
					heads++
					return nil
				},
				Chunk: func(data []byte) error {
					got.Write(data)
					return nil
				},
			})
			assert.Equal(t, out.Code, c.WantCode)
			assert.DeepEqual(t, sent, c.WantSent)
			assert.Equal(t, got.String(), eventsText(0, c.WantEvents)+c.WantThen)
			assert.Assert(t, heads <= 1)
		})
	}
}

func routedTestCall(c routedCase) *call.Call {
	return &call.Call{
		ID:         "x",
		Kind:       call.KindRouted,
		Service:    "s",
		Stream:     true,
		Idempotent: c.Idempotent,
		Deadline:   time.Now().Add(time.Minute),
		Routed: &call.Routed{
			Resumable:   c.Resumable,
			MaxAttempts: 2,
		},
	}
}

func (p routedPlace) serve(sink call.Sink) call.Outcome {
	status := p.Status
	if status == 0 {
		status = http.StatusOK
	}
	if p.Version != unknownVersion {
		sink.Version(cmp.Or(p.Version, "v1"))
	}
	if p.Events > 0 || p.Then != "" {
		if err := sink.Head(status, http.Header{}); err != nil {
			return call.Refused(result.Refuse(result.PeerLost, "the caller has gone").WithCause(err))
		}
		if err := sink.Chunk([]byte(eventsText(p.From, p.Events) + p.Then)); err != nil {
			return call.Refused(result.Refuse(result.PeerLost, "the caller has gone").WithCause(err))
		}
	}
	if p.Code.Class() == result.ClassDone {
		return call.Outcome{Code: p.Code}
	}
	return call.Refused(result.Refuse(p.Code, "as the table says"))
}

// unknownVersion is the version of a place that does not tell it.
const unknownVersion = "none"

func eventsText(from, count int) string {
	var text strings.Builder
	for number := range count {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", from+number+1)
	}
	return text.String()
}

// TestSpentBudget checks that a retry from another VM is refused, with nothing sent,
// when the retry budget is exhausted.
func TestSpentBudget(t *testing.T) {
	s := New(Options{
		Now:      time.Now,
		VM:       "a",
		Budget:   Budget{Allow: func(string) bool { return false }},
		Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
		Metrics:  metrics.New(),
	})
	c := routedTestCall(routedCase{Idempotent: true})
	c.Forwarded = true
	c.Routed.Retry = true
	out := s.Serve(t.Context(), c, Placement{Kind: PlaceHere}, call.Sink{})
	assert.Equal(t, out.Code, result.RetryBudget)
	assert.Assert(t, out.Refusal != nil)
}

// TestStreamOfUnknownOrigin guards against a stream that goes on at any software version, as
// nobody knows which one began it.
func TestStreamOfUnknownOrigin(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		// Resume is the last event that the caller names, Known the version that began it.
		Resume   string
		Stream   bool
		Known    string
		WantCode result.Code `json:"want_code"`
		WantPin  string      `json:"want_pin"`
	}](t, "testdata/origin.json") {
		t.Run(c.Name, func(t *testing.T) {
			s := New(Options{
				Now: time.Now,
				PlaceRouted: func(context.Context, *call.Call, []fleet.VM) (fleet.VM, bool, *result.Refusal) {
					return fleet.VM{ID: "b", Region: "r"}, true, nil
				},
				Forward: func(_ context.Context, _ fleet.VM, sent *call.Call, _ call.Sink) call.Outcome {
					assert.Equal(t, sent.Routed.Pin.Version, c.WantPin)
					return call.Outcome{Code: result.Done}
				},
				Streams: Streams{
					Began: func(*call.Call, string) {},
					Origin: func(context.Context, *call.Call) (origin.Origin, bool) {
						return origin.Origin{Service: "s", Version: c.Known}, c.Known != ""
					},
				},
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
			})
			resumed := routedTestCall(routedCase{Idempotent: true, Resumable: true})
			resumed.Stream = c.Stream
			resumed.Routed.ResumeAfter = c.Resume
			out := s.Serve(t.Context(), resumed, Placement{Kind: PlaceHere}, call.Sink{})
			assert.Equal(t, out.Code, c.WantCode)
		})
	}
}

// TestResumeNeedsLastEvent guards against a stream that begins anew behind events that the caller
// has, as the id of the last one is not known or its route does not allow to resume.
func TestResumeNeedsLastEvent(t *testing.T) {
	for _, row := range []struct {
		lastEvent string
		resumable bool
		want      bool
	}{
		{"3", true, true},
		{"", true, false},
		{"3", false, false},
	} {
		p := progress{
			delivered:   3,
			lastEventID: row.lastEvent,
			lastAttempt: endpoint.Outcome{
				Code:      result.EndpointCut,
				Sent:      true,
				Resumable: true,
			},
		}
		c := routedTestCall(routedCase{Idempotent: true, Resumable: row.resumable})
		s := New(Options{Now: time.Now})
		assert.Equal(t, s.shouldRetry(t.Context(), c, &p), row.want, "%+v", row)
	}
}
