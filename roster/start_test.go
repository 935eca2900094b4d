package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestStart starts a VM of region a whose seeds of regions b and c answer after a
// while, and counts the rounds of exchanges in its first four seconds.
func TestStart(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		// Found is after how many milliseconds each region's seed answers.
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
					hear(r, region, now)
				}
				if now.Equal(r.Next(now)) {
					t.Fatal("no time passes")
				}
			}
			assert.Assert(t, rounds >= c.Least && rounds <= c.Most, "%d", rounds)
		})
	}
}

// hear takes a message of a region's seed.
func hear(r *Roster, region string, now time.Time) {
	from := Rumor{
		VM:          fleet.VM{ID: region + "1", Region: region, PeerAddr: region + ":1"},
		Incarnation: 1,
		Version:     1,
		Ready:       true,
	}
	r.Heard(from, nil, now)
}
