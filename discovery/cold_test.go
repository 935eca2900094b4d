package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// echo is a set of VMs that pass on that an endpoint is cold over slow ways.
type echo struct {
	Name string
	VMs  int
	// Way is how long a word takes from one VM to another.
	Way string
	// Cold is what the endpoint told the VM that asked it.
	Cold string
	// Again is an endpoint's second, longer word, told to the same VM after After.
	Again, After string
	// WarmAfter is when every VM must take the endpoint as warm again.
	WarmAfter string `json:"warm_after"`
	// MostTold bounds how often the VMs tell each other.
	MostTold int `json:"most_told"`
}

// word is one on its way.
type word struct {
	to     int
	at     time.Time
	left   time.Duration
	number uint64
}

// TestColdWordsEnd lets each VM tell all others whatever is new to it.
func TestColdWordsEnd(t *testing.T) {
	for _, c := range datatest.Read[[]echo](t, "testdata/echoes.json") {
		t.Run(c.Name, func(t *testing.T) {
			const step = 50 * time.Millisecond
			start := time.Unix(1e9, 0)
			states := coldStates(c.VMs, start)
			var ways []word
			told := 0
			tell := func(from int, now time.Time) {
				told++
				ready := states[from].Endpoints(now)[0]
				for to := range states {
					if to != from {
						ways = append(ways, word{
							to:     to,
							at:     now.Add(duration(t, c.Way)),
							left:   ready.ColdUntil.Sub(now),
							number: ready.ColdNumber,
						})
					}
				}
			}
			if states[0].Cold("a", start.Add(duration(t, c.Cold)), start) {
				tell(0, start)
			}
			end := start.Add(duration(t, c.WarmAfter))
			for now := start.Add(step); !now.After(end); now = now.Add(step) {
				if c.Again != "" && now.Equal(start.Add(duration(t, c.After))) {
					if states[0].Cold("a", now.Add(duration(t, c.Again)), now) {
						tell(0, now)
					}
				}
				var under []word
				var changed []int
				for _, w := range ways {
					switch {
					case w.at.After(now):
						under = append(under, w)
					case states[w.to].HeardCold("a", w.number, now.Add(w.left), now):
						changed = append(changed, w.to)
					}
				}
				ways = under
				for _, vm := range changed {
					tell(vm, now)
				}
			}
			for vm, s := range states {
				assert.Assert(t, s.Endpoints(end)[0].ColdUntil.IsZero(), "VM %d holds it for cold", vm)
			}
			assert.Assert(t, told <= c.MostTold, "told %d times", told)
		})
	}
}

// TestColdWordsReachAll checks that a longer word of the endpoint is taken by
// all, also by those that hold a shorter one.
func TestColdWordsReachAll(t *testing.T) {
	now := time.Unix(1e9, 0)
	states := coldStates(2, now)
	assert.Assert(t, states[0].Cold("a", now.Add(time.Second), now))
	first := states[0].Endpoints(now)[0]
	assert.Assert(t, states[1].HeardCold("a", first.ColdNumber, first.ColdUntil, now))
	assert.Assert(t, states[0].Cold("a", now.Add(3*time.Second), now))
	second := states[0].Endpoints(now)[0]
	assert.Assert(t, states[1].HeardCold("a", second.ColdNumber, second.ColdUntil, now))
	assert.Assert(t, states[1].Endpoints(now)[0].ColdUntil.Equal(now.Add(3*time.Second)))
	// A VM that began anew counts from the start; its word counts once the old one is past.
	later := now.Add(3 * time.Second).Add(coldForgotten)
	assert.Assert(t, states[1].HeardCold("a", 1, later.Add(time.Second), later))
}

func coldStates(count int, now time.Time) []*State {
	states := make([]*State, count)
	for i := range states {
		states[i] = New(Options{Grace: 2 * time.Second})
		states[i].Take(Change{Endpoint: &Endpoint{
			Endpoint: fleet.Endpoint{
				ID:    "a",
				State: fleet.StateLive,
			},
		}}, now)
	}
	return states
}
