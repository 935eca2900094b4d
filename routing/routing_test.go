package routing

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

var startTime = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

type chooseScript struct {
	Name      string
	Policy    string
	VMs       int
	Endpoints map[string]int
	Steps     []scriptStep
}

// scriptStep is one of list, report, choose and done.
type scriptStep struct {
	At      string
	List    map[string]int
	Leaving string
	Report  string
	Age     string
	Running int
	Waiting int
	Choose  string
	Prefix  uint64
	Exclude [2]string
	Want    string
	Probe   bool
	Done    string
	Code    result.Code
	First   string
	// Canceled applies to Done.
	Canceled bool
}

func TestChooseScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/choose.json")
	assert.NilError(t, err)
	var scripts []chooseScript
	assert.NilError(t, json.Unmarshal(data, &scripts))
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			p := New(Options{
				Policy: s.Policy,
				Rand:   func() uint64 { return 0 },
			})
			p.SetVMs(s.VMs)
			p.SetEndpoints(endpointList(s.Endpoints, ""), startTime)
			choices := map[string]Choice{}
			for i, st := range s.Steps {
				runStep(t, p, st, i, choices)
			}
		})
	}
}

func runStep(t *testing.T, p *Pool, st scriptStep, i int, choices map[string]Choice) {
	now := startTime.Add(duration(t, st.At))
	switch {
	case st.List != nil:
		p.SetEndpoints(endpointList(st.List, st.Leaving), now)
	case st.Report != "":
		p.Report(st.Report, Load{
			At:      now.Add(-duration(t, st.Age)),
			Running: st.Running,
			Waiting: st.Waiting,
			Leaving: st.Leaving == st.Report,
		}, now)
	case st.Choose != "":
		c, ok := p.Choose(Request{
			PrefixHash:   st.Prefix << 60,
			PromptTokens: 500,
			MaxTokens:    50,
			Priority:     call.PriorityChat,
			Exclude:      st.Exclude,
		}, now)
		assert.Equal(t, ok, st.Want != "", "step %d", i)
		assert.Equal(t, c.Endpoint.ID, st.Want, "step %d", i)
		assert.Equal(t, c.Probe, st.Probe, "step %d", i)
		choices[st.Choose] = c
	case st.Done != "":
		c := choices[st.Done]
		o := Outcome{
			Code:     st.Code,
			Sent:     true,
			Canceled: st.Canceled,
		}
		if st.Code == 0 {
			o.Code = result.Done
		}
		if st.First != "" {
			o.FirstAt = c.At.Add(duration(t, st.First))
		}
		p.Done(c, o, now)
	}
}

func endpointList(slots map[string]int, leaving string) []fleet.Endpoint {
	list := make([]fleet.Endpoint, 0, len(slots))
	for _, id := range slices.Sorted(maps.Keys(slots)) {
		e := fleet.Endpoint{
			ID:    id,
			Slots: slots[id],
			State: fleet.StateLive,
		}
		if id == leaving {
			e.State = fleet.StateLeaving
		}
		list = append(list, e)
	}
	return list
}

func duration(t *testing.T, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// Random histories: a draining, unlisted or excluded endpoint must get no calls, an
// endpoint at most one probe at a time, and each call must be counted once.
func TestChooseInvariants(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		p := New(Options{Rand: func() uint64 { return uint64(rapid.IntRange(0, 1000).Draw(t, "rand")) }})
		now := startTime
		live := map[string]bool{}
		var inFlight []Choice
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				slots := map[string]int{}
				leaving := rapid.SampledFrom(ids).Draw(t, "leaving")
				clear(live)
				for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID).Draw(t, "ids") {
					slots[id] = 2
					live[id] = id != leaving
				}
				p.SetEndpoints(endpointList(slots, leaving), now)
			},
			"report": func(t *rapid.T) {
				p.Report(rapid.SampledFrom(ids).Draw(t, "id"), Load{
					At:      now,
					Running: rapid.IntRange(0, 9).Draw(t, "running"),
				}, now)
			},
			"choose": func(t *rapid.T) {
				r := Request{
					PrefixHash: rapid.Uint64().Draw(t, "prefix"),
					Exclude:    [2]string{rapid.SampledFrom(ids).Draw(t, "exclude")},
				}
				c, ok := p.Choose(r, now)
				if !ok {
					return
				}
				assert.Assert(t, live[c.Endpoint.ID])
				assert.Assert(t, c.Endpoint.ID != r.Exclude[0])
				for _, f := range inFlight {
					assert.Assert(t, !c.Probe || !f.Probe || f.state != c.state)
				}
				inFlight = append(inFlight, c)
			},
			"done": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				code := rapid.SampledFrom([]result.Code{result.Done, result.EndpointFailed}).Draw(t, "code")
				p.Done(inFlight[0], Outcome{
					Code:    code,
					Sent:    true,
					FirstAt: now,
				}, now)
				inFlight = inFlight[1:]
			},
			"": func(t *rapid.T) {
				counted := 0
				for _, e := range p.endpoints {
					counted += e.inFlight
					assert.Assert(t, e.inFlight >= 0)
				}
				assert.Assert(t, counted <= len(inFlight))
				assert.Equal(t, len(p.eligible) > 0, p.Capacity(now).Slots > 0)
			},
		})
	})
}

func TestChooseAllocatesNothing(t *testing.T) {
	for _, n := range []int{10, 600} {
		p := newLargePool(n)
		r := Request{
			PrefixHash:   7,
			PromptTokens: 300,
			MaxTokens:    50,
		}
		allocs := testing.AllocsPerRun(200, func() {
			c, ok := p.Choose(r, startTime)
			assert.Assert(t, ok)
			p.Done(c, Outcome{
				Code:    result.Done,
				Sent:    true,
				FirstAt: startTime,
			}, startTime)
		})
		assert.Equal(t, allocs, 0.0)
	}
}

func newLargePool(n int) *Pool {
	slots := map[string]int{}
	for i := range n {
		slots[fmt.Sprintf("e%d", i)] = 16
	}
	p := New(Options{})
	p.SetVMs(8)
	p.SetEndpoints(endpointList(slots, ""), startTime)
	for id := range slots {
		p.Report(id, Load{
			At:      startTime,
			Running: 4,
		}, startTime)
	}
	return p
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 10, 100, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := newLargePool(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				r := Request{
					PrefixHash:   uint64(n) * 0x9e3779b97f4a7c15,
					PromptTokens: 300,
					MaxTokens:    50,
				}
				for pb.Next() {
					r.PrefixHash += 0x9e3779b97f4a7c15
					c, _ := p.Choose(r, startTime)
					p.Done(c, Outcome{
						Code:    result.Done,
						Sent:    true,
						FirstAt: startTime,
					}, startTime)
				}
			})
		})
	}
}

func BenchmarkSetEndpoints(b *testing.B) {
	p := newLargePool(600)
	list := make([]fleet.Endpoint, len(p.endpoints))
	for i, e := range p.endpoints {
		list[i] = e.Endpoint
	}
	for b.Loop() {
		p.SetEndpoints(list, startTime)
	}
}
