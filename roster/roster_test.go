package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	testEvery = 500 * time.Millisecond
	testTick  = 25 * time.Millisecond
	// testWay is the time that one exchange takes between regions.
	testWay = 160 * time.Millisecond
)

// world is a fleet in virtual time. Messages are delivered unless a VM is down,
// frozen or cut off.
type world struct {
	t     *testing.T
	now   time.Time
	rand  *rand.Rand
	vms   map[string]*testVM
	order []string
	cuts  map[[2]string]bool
	lives uint64
	queue []delivery
	seeds []string
	// far counts the exchanges that were begun with another region.
	far int
}

type testVM struct {
	vm     fleet.VM
	roster *Roster
	up     bool
	frozen bool
}

type delivery struct {
	at time.Time
	do func()
}

func newWorld(t *testing.T, regions, perRegion, seed int) *world {
	w := &world{
		t:    t,
		now:  time.Unix(1e9, 0),
		rand: rand.New(rand.NewPCG(uint64(seed), 1)),
		vms:  make(map[string]*testVM),
		cuts: make(map[[2]string]bool),
	}
	for r := range regions {
		for i := range perRegion {
			id := fmt.Sprintf("r%d-%d", r, i)
			w.vms[id] = &testVM{vm: fleet.VM{ID: id, Region: fmt.Sprintf("r%d", r), PeerAddr: "addr-" + id}}
			w.order = append(w.order, id)
		}
		w.seeds = append(w.seeds, fmt.Sprintf("addr-r%d-0", r))
	}
	return w
}

func (w *world) start(id string) {
	w.lives++
	v := w.vms[id]
	v.up = true
	v.frozen = false
	v.roster = New(Options{
		Self:        v.vm,
		Incarnation: w.lives,
		Seeds:       w.seeds,
		Every:       testEvery,
		Rand:        w.rand.Uint64,
	})
	v.roster.SetReady(true)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(testTick) {
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			next := w.queue[0]
			w.queue = w.queue[1:]
			next.do()
		}
		for _, id := range w.order {
			if v := w.vms[id]; v.up && !v.frozen {
				for _, target := range v.roster.Step(w.now) {
					w.exchange(v, target)
				}
			}
		}
	}
}

func (w *world) later(d time.Duration, do func()) {
	w.queue = append(w.queue, delivery{at: w.now.Add(d), do: do})
	slices.SortStableFunc(w.queue, func(a, b delivery) int { return a.at.Compare(b.at) })
}

// exchange sends a message and its answer, as the processes do.
func (w *world) exchange(from *testVM, target Target) {
	life := from.roster
	var to *testVM
	for _, v := range w.vms {
		if v.vm.PeerAddr == target.VM.PeerAddr {
			to = v
		}
	}
	way := time.Millisecond
	if from.vm.Region != to.vm.Region {
		w.far++
		way = testWay / 2
	}
	if !to.up && !w.cut(from, to) {
		w.later(2*way, func() { life.Refused(target.VM.ID, w.now) })
		return
	}
	if !to.up || to.frozen || w.cut(from, to) {
		w.later(time.Second, func() { life.Missed(target.VM.ID, w.now) })
		return
	}
	self, digest, recent := life.Self(), life.Digest(), life.Recent(w.now)
	w.later(way, func() {
		if !to.up {
			return
		}
		to.roster.Heard(self, recent, w.now)
		answer, answered := to.roster.Self(), to.roster.Differing(digest)
		w.later(way, func() {
			if from.roster == life {
				life.Heard(answer, answered, w.now)
			}
		})
	})
}

func (w *world) cut(a, b *testVM) bool {
	return w.cuts[[2]string{a.vm.Region, b.vm.Region}] || w.cuts[[2]string{b.vm.Region, a.vm.Region}] ||
		w.cuts[[2]string{a.vm.ID, ""}] || w.cuts[[2]string{b.vm.ID, ""}]
}

// reached returns the ids that a VM would send others to.
func (w *world) reached(id string) string {
	var out []string
	for _, m := range w.vms[id].roster.Picture().Members {
		if m.Reachable && m.Ready {
			out = append(out, m.VM.ID)
		}
	}
	return strings.Join(out, " ")
}

type rosterCase struct {
	Name      string
	Regions   int
	PerRegion int `json:"per_region"`
	Steps     []string
	// Want returns what a VM reaches: "VM: ids", or "all" for every VM.
	Want []string
}

// TestScenarios plays failures in fleets of several sizes, with several seeds each.
func TestScenarios(t *testing.T) {
	for _, c := range datatest.Read[[]rosterCase](t, "testdata/scenarios.json") {
		for seed := range 5 {
			t.Run(fmt.Sprintf("%s/%d", c.Name, seed), func(t *testing.T) {
				w := newWorld(t, c.Regions, c.PerRegion, seed)
				for _, step := range c.Steps {
					w.do(step)
				}
				for _, want := range c.Want {
					id, ids, _ := strings.Cut(want, ": ")
					if ids == "all" {
						ids = strings.Join(slices.Sorted(slices.Values(w.order)), " ")
					}
					assert.Equal(t, w.reached(id), ids)
				}
			})
		}
	}
}

func (w *world) do(step string) {
	words := strings.Fields(step)
	ids := words[1:]
	if len(ids) == 1 && ids[0] == "all" {
		ids = w.order
	}
	switch words[0] {
	case "start":
		for _, id := range ids {
			w.start(id)
		}
	case "kill":
		for _, id := range ids {
			w.vms[id].up = false
		}
	case "freeze":
		w.vms[words[1]].frozen = true
	case "wake":
		w.vms[words[1]].frozen = false
	case "leave":
		w.vms[words[1]].roster.Leave()
	case "cut":
		w.cuts[pair(words)] = true
	case "heal":
		delete(w.cuts, pair(words))
	case "run":
		d, err := time.ParseDuration(words[1])
		assert.NilError(w.t, err)
		w.run(d)
	default:
		w.t.Fatal("unknown step", step)
	}
}

func pair(words []string) [2]string {
	if len(words) == 2 {
		return [2]string{words[1], ""}
	}
	return [2]string{words[1], words[2]}
}

// TestFarExchanges holds that the exchanges of a region with another one do not
// grow with its VMs while nobody is in doubt.
func TestFarExchanges(t *testing.T) {
	const seconds = 20
	for _, perRegion := range []int{3, 30, 100} {
		w := newWorld(t, 2, perRegion, 1)
		for _, id := range w.order {
			w.start(id)
		}
		w.run(10 * time.Second)
		w.far = 0
		w.run(seconds * time.Second)
		begun := float64(w.far) / seconds
		assert.Assert(t, begun > farAskers && begun < 3*farAskers, "%d VMs a region: %.1f a second", perRegion, begun)
	}
}

// TestOlderClock holds that a life whose clock is behind that of the life
// before it is still taken for the newer one.
func TestOlderClock(t *testing.T) {
	w := newWorld(t, 1, 2, 1)
	w.lives = 100
	w.start("r0-0")
	w.start("r0-1")
	w.run(2 * time.Second)
	w.vms["r0-1"].up = false
	w.run(5 * time.Second)
	w.lives = 50
	w.start("r0-1")
	w.run(3 * time.Second)
	assert.Equal(t, w.reached("r0-0"), "r0-0 r0-1")
	assert.Equal(t, w.reached("r0-1"), "r0-0 r0-1")
}
