package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestShown holds after any events that a picture shows what is known now, and that
// the digest is that of all rumors held.
func TestShown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		r := newRoster(func() uint64 { return 0 })
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			id := fmt.Sprintf("vm-%d", rapid.IntRange(0, 5).Draw(t, "vm"))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				r.Heard(drawRumor(t, id), []Rumor{drawRumor(t, "vm-5")}, now)
			case 2:
				r.Missed(id, now)
			case 3:
				r.Refused(id, now)
			case 4:
				r.SetReady(rapid.Bool().Draw(t, "ready"))
			case 5:
				r.SetTurnedAway(rapid.Bool().Draw(t, "away"))
			case 6:
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				r.Step(now)
			}
			got, digest := r.Picture(), r.Digest()
			r.resum()
			want := r.Picture()
			assert.Equal(t, digest, r.Digest())
			assert.DeepEqual(t, got.Members, want.Members)
			assert.DeepEqual(t, got.reached, want.reached)
			assert.DeepEqual(t, got.taking, want.taking)
		}
	})
}

// resum covers the own rumor and all others anew, as the changes since must have done.
func (r *Roster) resum() {
	r.shownStale = true
	r.sums = sums{}
	r.sums.add(r.self)
	for _, m := range r.members {
		r.sums.add(m.Rumor)
	}
}

func newRoster(random func() uint64) *Roster {
	return New(Options{
		Self:        fleet.VM{ID: "self", Region: "one"},
		Incarnation: 1,
		Every:       500 * time.Millisecond,
		Rand:        random,
	})
}

// drawRumor is a rumor of a member, which is ready in each second version of itself.
func drawRumor(t *rapid.T, id string) Rumor {
	version := rapid.Uint32Range(1, 3).Draw(t, "version")
	return Rumor{
		VM:          fleet.VM{ID: id, Region: "one"},
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		Version:     version,
		State:       State(rapid.IntRange(int(StateAlive), int(StateLeft)).Draw(t, "state")),
		Ready:       version%2 == 0,
	}
}

// fleetSize is the number of VMs in the benchmarks.
const fleetSize = 295

func fleetRumors() []Rumor {
	var out []Rumor
	for i := range fleetSize {
		out = append(out, Rumor{
			VM: fleet.VM{
				ID:         fmt.Sprintf("edge-region-a-%d", i),
				Region:     "one",
				DataCentre: "one-a",
			},
			Incarnation: 1,
			Version:     1,
			State:       StateAlive,
			Ready:       true,
		})
	}
	return out
}

// BenchmarkHeard takes a message with all rumors of a fleet that a VM which has just
// started does not know: 0.93 ms with all rumors covered anew for
// each, 0.08 ms without.
func BenchmarkHeard(b *testing.B) {
	rumors := fleetRumors()
	now := time.Unix(1e9, 0)
	for b.Loop() {
		r := newRoster(func() uint64 { return 0 })
		r.Heard(rumors[0], rumors, now)
	}
}

// BenchmarkPicture makes a picture after a message that changed nothing: 83 µs and
// 80 KB with the members put together each time, 0.13 µs and 208 bytes since they are kept.
func BenchmarkPicture(b *testing.B) {
	rumors := fleetRumors()
	now := time.Unix(1e9, 0)
	r := newRoster(func() uint64 { return 0 })
	r.Heard(rumors[0], rumors, now)
	for b.Loop() {
		r.Heard(rumors[0], nil, now)
		_ = r.Picture()
	}
}
