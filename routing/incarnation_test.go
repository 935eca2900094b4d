package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// incarnationStep is one event at endpoint "a".
type incarnationStep struct {
	// List lists the endpoint and Report applies a load report, both with an incarnation;
	// zero means unknown.
	List, Report *int64
	// AgeMS is the age in milliseconds of the report, or of what another VM reports if
	// Hear is set.
	AgeMS int64 `json:"age_ms"`
	// Running is the report's number of running calls.
	Running int
	// Send is the number of calls with the shared prefix to send and keep in flight.
	Send int
	// Fail is the number of calls to send and fail.
	Fail int
	// Hear lets another VM report that it sent the shared prefix there and has a prompt
	// queued there.
	Hear bool
	// End ends the calls in flight.
	End bool
	// Wait is the time to the next step, in milliseconds.
	Wait int64
}

type incarnationWant struct {
	Incarnation int64
	InFlight    int  `json:"in_flight"`
	Holds       bool // the shared prompt
	Waiting     int  // prompts of other VMs
	Running     int
	Eligible    bool
}

// State of an earlier incarnation must not carry over to a later one.
func TestIncarnations(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name  string
		Steps []incarnationStep
		Want  incarnationWant
	}](t, "testdata/incarnations.json") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			p := New(Options{Rand: func() uint64 { return 0 }})
			var open []Choice
			for _, s := range c.Steps {
				now = s.apply(t, p, &open, now)
			}
			e := p.byID["a"]
			got := incarnationWant{
				Incarnation: e.Incarnation,
				InFlight:    e.inFlight,
				Holds:       e.prefixCache.cachedTokens(sharedPromptRequest().Prefixes, now) > 0,
				Running:     e.load.Running,
				Eligible:    e.eligibleIndex >= 0,
			}
			for _, o := range e.prefillQueue.peers {
				got.Waiting += len(o.prompts)
			}
			assert.DeepEqual(t, got, c.Want)
		})
	}
}

func (s incarnationStep) apply(t *testing.T, p *Pool, open *[]Choice, now time.Time) time.Time {
	t.Helper()
	ago := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	prefixes := sharedPromptRequest().Prefixes
	longest := prefixes[len(prefixes)-1]
	switch {
	case s.List != nil:
		p.SetEndpoints([]fleet.Endpoint{endpointIncarnation("a", *s.List), endpointIncarnation("b", 1)}, now)
	case s.Report != nil:
		p.Report("a", Load{At: ago, Running: s.Running, Incarnation: *s.Report}, now)
	case s.Hear:
		p.AddHoldings([]Holding{{Hash: longest.Hash, Tokens: longest.Tokens, Endpoint: "a", UsedAt: ago}}, now)
		p.SetPeerQueues("other", []PrefillQueue{{Endpoint: "a", HeadChangedAt: ago, Prompts: []QueuedPrompt{{Tokens: 500, SentAt: ago}}}}, now, now)
	}
	for range s.Send + s.Fail {
		r := sharedPromptRequest()
		r.Exclude[0] = "b"
		choice, ok := p.Choose(r, now)
		assert.Assert(t, ok)
		*open = append(*open, choice)
	}
	for range s.Fail {
		last := len(*open) - 1
		p.Done((*open)[last], Outcome{Code: result.EndpointFailed, Sent: true}, now)
		*open = (*open)[:last]
	}
	if s.End {
		for _, choice := range *open {
			p.Done(choice, Outcome{Code: result.Done}, now)
		}
		*open = nil
	}
	return now.Add(time.Duration(s.Wait) * time.Millisecond)
}

func endpointIncarnation(id string, incarnation int64) fleet.Endpoint {
	return fleet.Endpoint{
		ID:          id,
		Addr:        "addr-" + id,
		Slots:       64,
		State:       fleet.StateLive,
		Incarnation: incarnation,
	}
}

func sharedPromptRequest() Request {
	return Request{
		PrefixHash:   call.SharedPrefix("", promptParts(9)),
		Prefixes:     Prefixes("", promptParts(9)),
		PromptTokens: 6000,
	}
}

// A restarted engine of another region must not count as holding prefixes.
func TestRemoteRestart(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints([]fleet.Endpoint{endpointIncarnation("a", 1)}, now)
	p.SetReachableRegions([]string{""})
	p.UpdateRemote([]fleet.Endpoint{endpointIncarnation("x", 1), endpointIncarnation("y", 1)}, nil)
	prefixes := sharedPromptRequest().Prefixes
	p.AddHoldings([]Holding{
		{Hash: prefixes[0].Hash, Tokens: prefixes[0].Tokens, Endpoint: "y", UsedAt: now},
		{Hash: prefixes[1].Hash, Tokens: prefixes[1].Tokens, Endpoint: "x", UsedAt: now},
	}, now)
	assert.Equal(t, p.remote.bestSource(prefixes, nil, now).addr, "addr-x")
	p.UpdateRemote([]fleet.Endpoint{endpointIncarnation("x", 2)}, nil)
	assert.Equal(t, p.remote.bestSource(prefixes, nil, now).addr, "addr-y")
}

// TestVersionOfRestartedEndpoint guards against a stream that goes on at an endpoint which has
// started again, by the software version of its former process.
func TestVersionOfRestartedEndpoint(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{Rand: func() uint64 { return 0 }})
	list := func(incarnation int64, version string) {
		p.SetEndpoints([]fleet.Endpoint{{
			ID:              "a",
			Addr:            "a:1",
			State:           fleet.StateLive,
			Incarnation:     incarnation,
			SoftwareVersion: version,
		}}, now)
	}
	chosen := func(pin fleet.VersionPin) bool {
		c, ok := p.Choose(Request{Pin: pin}, now)
		p.Done(c, Outcome{Canceled: true}, now)
		return ok
	}
	list(1, "v1")
	assert.Assert(t, chosen(fleet.PinTo("v1")))
	assert.Assert(t, !chosen(fleet.PinTo("v2")))
	p.Report("a", Load{At: now, Incarnation: 2}, now)
	assert.Assert(t, !chosen(fleet.PinTo("v1")))
	list(1, "v1")
	assert.Assert(t, !chosen(fleet.PinTo("v1")))
	assert.Assert(t, chosen(fleet.VersionPin{}))
	list(2, "v2")
	assert.Assert(t, chosen(fleet.PinTo("v2")))
}

// TestVersionWithoutIncarnation guards against losing the software version of an endpoint whose
// entry names no incarnation, while its load reports do.
func TestVersionWithoutIncarnation(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{Rand: func() uint64 { return 0 }})
	listed := []fleet.Endpoint{{
		ID:              "a",
		Addr:            "a:1",
		State:           fleet.StateLive,
		SoftwareVersion: "v1",
	}}
	p.SetEndpoints(listed, now)
	p.Report("a", Load{At: now, Incarnation: 2}, now)
	for range 2 {
		_, ok := p.Choose(Request{Pin: fleet.PinTo("v1")}, now)
		assert.Assert(t, ok)
		p.SetEndpoints(listed, now)
	}
}
