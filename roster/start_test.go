package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestStart checks the number of rounds in the first four seconds of a VM in region a,
// while the seeds of regions b and c start to answer after a delay.
func TestStart(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		// Found is the delay in milliseconds after which each region's seed answers.
		Found map[string]int64
		Least int
		Most  int
	}](t, "testdata/start.json") {
		t.Run(c.Name, func(t *testing.T) {
			start := time.Unix(1e9, 0)
			r := New(Options{
				Self:    fleet.VM{ID: "a1", Region: "a", PeerAddr: "a:1"},
				Seeds:   []string{"b:1", "c:1"},
				Every:   500 * time.Millisecond,
				Regions: []string{"a", "b", "c"},
				Rand:    func() uint64 { return 0 },
			})
			rounds := 0
			for now := start; now.Before(start.Add(4 * time.Second)); now = r.Next(now) {
				if len(r.Step(now)) == 0 {
					continue
				}
				rounds++
				for region, ms := range c.Found {
					if now.Sub(start) < time.Duration(ms)*time.Millisecond {
						continue
					}
					hearSeed(r, region, now)
				}
				if now.Equal(r.Next(now)) {
					t.Fatal("Next did not advance")
				}
			}
			assert.Assert(t, rounds >= c.Least && rounds <= c.Most, "%d", rounds)
		})
	}
}

// hearSeed delivers a message from a region's seed.
func hearSeed(r *Roster, region string, now time.Time) {
	from := Rumor{
		VM:          fleet.VM{ID: region + "1", Region: region, PeerAddr: region + ":1"},
		Incarnation: 1,
		Version:     1,
		Ready:       true,
	}
	r.Receive(from, nil, now)
}
