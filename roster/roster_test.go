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
	// testRemoteRoundTrip is the duration of one exchange between regions.
	testRemoteRoundTrip = 160 * time.Millisecond
)

// simulation runs a fleet in virtual time. Messages are delivered unless a VM is down,
// frozen or disconnected.
type simulation struct {
	t               *testing.T
	now             time.Time
	rand            *rand.Rand
	vms             map[string]*testVM
	ids             []string
	cuts            map[[2]string]bool
	lastIncarnation uint64
	queue           []delivery
	seeds           []string
	// remoteExchanges counts the exchanges started with another region.
	remoteExchanges int
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

func newSimulation(t *testing.T, regions, perRegion, seed int) *simulation {
	w := &simulation{
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
			w.ids = append(w.ids, id)
		}
		w.seeds = append(w.seeds, fmt.Sprintf("addr-r%d-0", r))
	}
	return w
}

func (w *simulation) start(id string) {
	w.lastIncarnation++
	v := w.vms[id]
	v.up = true
	v.frozen = false
	v.roster = New(Options{
		Self:        v.vm,
		Incarnation: w.lastIncarnation,
		Seeds:       w.seeds,
		Every:       testEvery,
		Rand:        w.rand.Uint64,
	})
	v.roster.SetReady(true)
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(testTick) {
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			next := w.queue[0]
			w.queue = w.queue[1:]
			next.do()
		}
		for _, id := range w.ids {
			if v := w.vms[id]; v.up && !v.frozen {
				for _, target := range v.roster.Step(w.now) {
					w.exchange(v, target)
				}
			}
		}
	}
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.queue = append(w.queue, delivery{at: w.now.Add(d), do: do})
	slices.SortStableFunc(w.queue, func(a, b delivery) int { return a.at.Compare(b.at) })
}

// exchange sends a message and its reply.
func (w *simulation) exchange(from *testVM, target Target) {
	sender := from.roster
	var to *testVM
	for _, v := range w.vms {
		if v.vm.PeerAddr == target.VM.PeerAddr {
			to = v
		}
	}
	latency := time.Millisecond
	if from.vm.Region != to.vm.Region {
		w.remoteExchanges++
		latency = testRemoteRoundTrip / 2
	}
	if !to.up && !w.isCut(from, to) {
		w.schedule(2*latency, func() { sender.RecordRefused(target.VM.ID, w.now) })
		return
	}
	if !to.up || to.frozen || w.isCut(from, to) {
		w.schedule(time.Second, func() { sender.RecordMiss(target.VM.ID, w.now) })
		return
	}
	self, digest, recent := sender.Self(), sender.Digest(), sender.RecentRumors(w.now)
	w.schedule(latency, func() {
		if !to.up {
			return
		}
		to.roster.Receive(self, recent, w.now)
		answer, answered := to.roster.Self(), to.roster.DifferingRumors(digest)
		w.schedule(latency, func() {
			if from.roster == sender {
				sender.Receive(answer, answered, w.now)
			}
		})
	})
}

func (w *simulation) isCut(a, b *testVM) bool {
	return w.cuts[[2]string{a.vm.Region, b.vm.Region}] || w.cuts[[2]string{b.vm.Region, a.vm.Region}] ||
		w.cuts[[2]string{a.vm.ID, ""}] || w.cuts[[2]string{b.vm.ID, ""}]
}

// reachableIDs returns the IDs of the VMs that a VM may route calls to.
func (w *simulation) reachableIDs(id string) string {
	var out []string
	for _, m := range w.vms[id].roster.Snapshot().Members {
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
	// Want lists the reachable VMs as "VM: ids", where the IDs may be "all".
	Want []string
}

// TestScenarios runs failures in fleets of several sizes, each with several random
// seeds.
func TestScenarios(t *testing.T) {
	for _, c := range datatest.Read[[]rosterCase](t, "testdata/scenarios.json") {
		for seed := range 5 {
			t.Run(fmt.Sprintf("%s/%d", c.Name, seed), func(t *testing.T) {
				w := newSimulation(t, c.Regions, c.PerRegion, seed)
				for _, step := range c.Steps {
					w.do(step)
				}
				for _, want := range c.Want {
					id, ids, _ := strings.Cut(want, ": ")
					if ids == "all" {
						ids = strings.Join(slices.Sorted(slices.Values(w.ids)), " ")
					}
					assert.Equal(t, w.reachableIDs(id), ids)
				}
			})
		}
	}
}

func (w *simulation) do(step string) {
	words := strings.Fields(step)
	ids := words[1:]
	if len(ids) == 1 && ids[0] == "all" {
		ids = w.ids
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
		w.cuts[cutKey(words)] = true
	case "heal":
		delete(w.cuts, cutKey(words))
	case "run":
		d, err := time.ParseDuration(words[1])
		assert.NilError(w.t, err)
		w.run(d)
	default:
		w.t.Fatal("unknown step", step)
	}
}

func cutKey(words []string) [2]string {
	if len(words) == 2 {
		return [2]string{words[1], ""}
	}
	return [2]string{words[1], words[2]}
}

// TestRemoteExchanges checks that the exchanges between two healthy regions don't grow
// with the number of VMs.
func TestRemoteExchanges(t *testing.T) {
	const seconds = 20
	for _, perRegion := range []int{3, 30, 100} {
		w := newSimulation(t, 2, perRegion, 1)
		for _, id := range w.ids {
			w.start(id)
		}
		w.run(10 * time.Second)
		w.remoteExchanges = 0
		w.run(seconds * time.Second)
		begun := float64(w.remoteExchanges) / seconds
		assert.Assert(t, begun > remoteExchangersPerRegion && begun < 3*remoteExchangersPerRegion, "%d VMs per region: %.1f exchanges per second", perRegion, begun)
	}
}

// TestClockSetBack checks that a restarted VM rejoins even if its clock has been set
// back, so that its incarnation is lower than before.
func TestClockSetBack(t *testing.T) {
	w := newSimulation(t, 1, 2, 1)
	w.lastIncarnation = 100
	w.start("r0-0")
	w.start("r0-1")
	w.run(2 * time.Second)
	w.vms["r0-1"].up = false
	w.run(5 * time.Second)
	w.lastIncarnation = 50
	w.start("r0-1")
	w.run(3 * time.Second)
	assert.Equal(t, w.reachableIDs("r0-0"), "r0-0 r0-1")
	assert.Equal(t, w.reachableIDs("r0-1"), "r0-0 r0-1")
}
