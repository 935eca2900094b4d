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

// lifeStep is one thing that happens to the endpoint "a".
type lifeStep struct {
	// List puts it on the list, Report has a load report taken, each with the
	// incarnation; zero means that it is not told.
	List, Report *int64
	// AgeMS is how old the report is, and with Hear what another VM tells of it.
	AgeMS int64 `json:"age_ms"`
	// Running is the report's load.
	Running int
	// Send is the number of calls with the shared prompt that are sent and stay in flight.
	Send int
	// Fail is the number of calls that are sent and fail.
	Fail int
	// Hear lets another VM tell that it sent the prompt there, and that its own
	// prompt waits there.
	Hear bool
	// End ends the calls in flight.
	End bool
	// Wait is in milliseconds.
	Wait int64
}

type lifeWant struct {
	Incarnation int64
	InFlight    int  `json:"in_flight"`
	Holds       bool // the shared prompt
	Waiting     int  // prompts of other VMs
	Running     int
	Eligible    bool
}

// TestLives holds that what an endpoint was in an earlier life says nothing of a later one.
func TestLives(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name  string
		Steps []lifeStep
		Want  lifeWant
	}](t, "testdata/lives.json") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			p := New(Options{Rand: func() uint64 { return 0 }})
			var open []Choice
			for _, s := range c.Steps {
				now = s.play(t, p, &open, now)
			}
			e := p.byID["a"]
			got := lifeWant{
				Incarnation: e.Incarnation,
				InFlight:    e.inFlight,
				Holds:       e.cache.warm(lifeRequest().Prefixes, now) > 0,
				Running:     e.load.Running,
				Eligible:    e.place >= 0,
			}
			for _, o := range e.reading.others {
				got.Waiting += len(o.prompts)
			}
			assert.DeepEqual(t, got, c.Want)
		})
	}
}

func (s lifeStep) play(t *testing.T, p *Pool, open *[]Choice, now time.Time) time.Time {
	t.Helper()
	ago := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	prefixes := lifeRequest().Prefixes
	longest := prefixes[len(prefixes)-1]
	switch {
	case s.List != nil:
		p.SetEndpoints([]fleet.Endpoint{lifeOf("a", *s.List), lifeOf("b", 1)}, now)
	case s.Report != nil:
		p.Report("a", Load{At: ago, Running: s.Running, Incarnation: *s.Report}, now)
	case s.Hear:
		p.Learn([]Holding{{Hash: longest.Hash, Tokens: longest.Tokens, Endpoint: "a", UsedAt: ago}}, now)
		p.TakeUnread("other", []Unread{{Endpoint: "a", MovedAt: ago, Prompts: []UnreadPrompt{{Tokens: 500, SentAt: ago}}}}, now, now)
	}
	for range s.Send + s.Fail {
		r := lifeRequest()
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

func lifeOf(id string, incarnation int64) fleet.Endpoint {
	return fleet.Endpoint{
		ID:          id,
		Addr:        "addr-" + id,
		Slots:       64,
		State:       fleet.StateLive,
		Incarnation: incarnation,
	}
}

func lifeRequest() Request {
	return Request{
		PrefixHash:   call.SharedPrefix("", parts(9)),
		Prefixes:     Prefixes("", parts(9)),
		PromptTokens: 6000,
	}
}

// TestFarLife holds that an engine of another region that started again holds nothing.
func TestFarLife(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints([]fleet.Endpoint{lifeOf("a", 1)}, now)
	p.SetFar([]fleet.Endpoint{lifeOf("x", 1), lifeOf("y", 1)})
	prefixes := lifeRequest().Prefixes
	p.Learn([]Holding{
		{Hash: prefixes[0].Hash, Tokens: prefixes[0].Tokens, Endpoint: "y", UsedAt: now},
		{Hash: prefixes[1].Hash, Tokens: prefixes[1].Tokens, Endpoint: "x", UsedAt: now},
	}, now)
	assert.Equal(t, p.far.source(prefixes, nil, now).addr, "addr-x")
	p.SetFar([]fleet.Endpoint{lifeOf("x", 2), lifeOf("y", 1)})
	assert.Equal(t, p.far.source(prefixes, nil, now).addr, "addr-y")
}
