package survey

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

var origin = time.Unix(1e9, 0)

// loadRow is a load as the table of cases has it, at some milliseconds.
type loadRow struct {
	AtMs    int64 `json:"at_ms"`
	Running int
	Waiting int
	Cache   int
}

func (r *loadRow) load() routing.Load {
	if r == nil {
		return routing.Load{}
	}
	return routing.Load{
		At:          origin.Add(time.Duration(r.AtMs) * time.Millisecond),
		Running:     r.Running,
		Waiting:     r.Waiting,
		CacheUsed:   r.Cache,
		CacheTokens: 1000,
	}
}

func TestIsNews(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		Told *loadRow
		Load *loadRow
		News bool
	}](t, "testdata/news.json") {
		t.Run(c.Name, func(t *testing.T) {
			assert.Equal(t, IsNews(c.Told.load(), c.Load.load()), c.News)
		})
	}
}

func TestIsDue(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name     string
		Last     *loadRow
		InFlight bool  `json:"in_flight"`
		NowMs    int64 `json:"now_ms"`
		Due      bool
	}](t, "testdata/due.json") {
		t.Run(c.Name, func(t *testing.T) {
			now := origin.Add(time.Duration(c.NowMs) * time.Millisecond)
			assert.Equal(t, IsDue(c.Last.load(), c.InFlight, now), c.Due)
		})
	}
}

// TestPlayedLoad plays 1,000 engines that calls of 300 ms come to, and holds that few
// questions and words remain of one an engine and second while there is little to do,
// and that other VMs believe hardly less right than if they were told all of that: at
// 50 calls a second 36% of the questions and 1% of the words.
func TestPlayedLoad(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name      string
		PerSecond float64 `json:"per_second"`
		// Asked and Told are the most questions and words, of those of an engine each
		// second, and Worse how much further off the believed load may be, in parts of the
		// calls, than if each engine were asked and told each second.
		Asked float64
		Told  float64
		Worse float64
	}](t, "testdata/played.json") {
		t.Run(c.Name, func(t *testing.T) {
			asked, told, off := playLoad(c.PerSecond, IsDue, IsNews)
			_, _, best := playLoad(c.PerSecond, eachSecond, all)
			t.Logf("asked %.3f told %.3f off %.3f, with all %.3f", asked, told, off, best)
			assert.Assert(t, asked <= c.Asked, "asked %.3f", asked)
			assert.Assert(t, told <= c.Told, "told %.3f", told)
			assert.Assert(t, off <= best+c.Worse, "off by %.3f and %.3f", off, best)
		})
	}
}

const (
	playedEngines = 1000
	playedSteps   = 600
	playedStep    = 100 * time.Millisecond
	// playedEnds is the part of the calls that end in a step.
	playedEnds = 1.0 / 3
)

func eachSecond(l routing.Load, _ bool, now time.Time) bool {
	return now.Sub(l.At) >= BusyEvery
}

func all(routing.Load, routing.Load) bool { return true }

func playLoad(perSecond float64, due func(routing.Load, bool, time.Time) bool, news func(told, l routing.Load) bool) (asked, told, off float64) {
	draw := rand.New(rand.NewPCG(1, 1))
	running := make([]int, playedEngines)
	last := make([]routing.Load, playedEngines)
	words := make([]routing.Load, playedEngines)
	calls := 0.0
	for step := range playedSteps {
		now := origin.Add(time.Duration(step) * playedStep)
		for i := range running {
			for range running[i] {
				if draw.Float64() < playedEnds {
					running[i]--
				}
			}
		}
		for arrivals := perSecond * playedStep.Seconds(); arrivals > draw.Float64(); arrivals-- {
			running[draw.IntN(playedEngines)]++
		}
		for i := range running {
			if due(last[i], false, now) {
				asked++
				last[i] = routing.Load{
					At:          now,
					Running:     running[i],
					CacheTokens: 1000,
				}
				if news(words[i], last[i]) {
					told++
					words[i] = last[i]
				}
			}
			calls += float64(running[i])
			off += max(float64(words[i].Running-running[i]), float64(running[i]-words[i].Running))
		}
	}
	each := playedEngines * playedSteps * playedStep.Seconds()
	return asked / each, told / each, off / max(calls, 1)
}
