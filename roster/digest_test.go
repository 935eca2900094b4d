package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestDigestsAgree checks that two VMs hold the same rumors after an exchange in each
// direction.
func TestDigestsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		a, b := newMember("a"), newMember("b")
		for _, r := range []*Roster{a, b} {
			for range rapid.IntRange(0, 20).Draw(t, "rumors") {
				rumor := drawRumor(t, rapid.SampledFrom([]string{"vm-0", "vm-1", "vm-2", "vm-3"}).Draw(t, "vm"))
				r.Receive(rumor, nil, now)
			}
		}
		now = now.Add(recentPeriod)
		for range 2 {
			exchangeRumors(a, b, now)
			exchangeRumors(b, a, now)
		}
		assert.Equal(t, a.Digest(), b.Digest())
		for id, m := range a.members {
			if id != "b" {
				assert.DeepEqual(t, m.Rumor, b.members[id].Rumor)
			}
		}
	})
}

// exchangeRumors performs one exchange between two VMs.
func exchangeRumors(from, to *Roster, now time.Time) {
	digest := from.Digest()
	to.Receive(from.Self(), from.RecentRumors(now), now)
	from.Receive(to.Self(), to.DifferingRumors(digest), now)
}

func newMember(id string) *Roster {
	return New(Options{
		Self:        fleet.VM{ID: id, Region: "one"},
		Incarnation: 1,
		Every:       500 * time.Millisecond,
		Rand:        func() uint64 { return 0 },
	})
}

// TestDigestIsSmall checks that VMs of a large fleet exchange no rumors if they hold
// the same ones, and few if one member has changed.
func TestDigestIsSmall(t *testing.T) {
	now := time.Unix(1e9, 0)
	a, b := newMember("a"), newMember("b")
	rumors := fleetRumors()
	a.Receive(b.Self(), rumors, now)
	b.Receive(a.Self(), rumors, now)
	assert.Equal(t, len(a.RecentRumors(now)), maxRecentRumors)
	now = now.Add(recentPeriod)
	assert.Equal(t, len(a.RecentRumors(now)), 0)
	assert.Equal(t, len(b.DifferingRumors(a.Digest())), 0)
	changed := rumors[7]
	changed.Version++
	b.Receive(changed, nil, now)
	assert.Equal(t, len(b.RecentRumors(now)), 1)
	differing := len(b.DifferingRumors(a.Digest()))
	assert.Assert(t, differing >= 1 && differing <= 16, "%d", differing)
}
