package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// startCase is the start of a region whose VMs know one seed at first, which has read the
// store.
type startCase struct {
	Name string
	VMs  int
	// SnapshotBytes is the size of all that the store holds.
	SnapshotBytes int `json:"snapshot_bytes"`
	// LinkBytesPerSecond is the speed of a VM's link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	// Unlimited leaves out the budget.
	Unlimited bool
	// AllWithin bounds the time until all VMs have a snapshot. Late is set if it is missed.
	AllWithin string `json:"all_within"`
	Late      bool
}

// TestSnapshotsAtStart guards against a start of a large fleet in which all VMs pull from
// the seeds at once, and none is served before it gives up.
func TestSnapshotsAtStart(t *testing.T) {
	for _, c := range datatest.Read[[]startCase](t, "testdata/snapshot_start.json") {
		t.Run(c.Name, func(t *testing.T) {
			bound := parseDuration(t, c.AllWithin)
			for seed := range uint64(5) {
				s := newStartSimulation(c, seed)
				s.run(bound)
				t.Logf("seed %d: all after %v, %d pulls given up", seed, s.now.Sub(simulationStart), s.abandoned)
				assert.Equal(t, s.holders < c.VMs, c.Late, "%d of %d VMs have a snapshot", s.holders, c.VMs)
				if !c.Unlimited {
					assert.Equal(t, s.abandoned, 0)
				}
			}
		})
	}
}

const (
	simulationStep = 5 * time.Millisecond
	// simulationStartSpread is the time within which all VMs start.
	simulationStartSpread = 300 * time.Millisecond
	// simulationExchange is the interval of exchanges, simulationPull the time that a VM
	// waits for a snapshot and simulationApply the time that it takes to apply one.
	simulationExchange = 500 * time.Millisecond
	simulationPull     = 2 * time.Second
	simulationApply    = 150 * time.Millisecond
	// simulationFanout is the number of VMs that a VM notifies once it has a snapshot.
	simulationFanout = 2
)

var simulationStart = time.Unix(1e9, 0)

type startSimulation struct {
	startCase
	rand      *rand.Rand
	now       time.Time
	vms       []*startingVM
	holders   int
	abandoned int
}

type startingVM struct {
	budget       SnapshotBudget
	nextExchange time.Time
	holds        bool
	// pullEndsAt is set during a pull, which succeeds if served is set.
	pullEndsAt time.Time
	served     bool
	// sending counts the snapshots that are being sent.
	sending int
	source  *startingVM
	// notice is a VM to pull from next.
	notice *startingVM
}

func newStartSimulation(c startCase, seed uint64) *startSimulation {
	s := &startSimulation{
		startCase: c,
		rand:      rand.New(rand.NewPCG(seed, 1)),
		now:       simulationStart,
	}
	for range c.VMs {
		s.vms = append(s.vms, &startingVM{
			budget: SnapshotBudget{
				LinkBytesPerSecond: c.LinkBytesPerSecond,
			},
			nextExchange: s.now.Add(time.Duration(s.rand.Int64N(int64(simulationStartSpread)))),
		})
	}
	s.vms[0].holds = true
	s.holders = 1
	return s
}

func (s *startSimulation) run(longest time.Duration) {
	for s.holders < s.VMs && s.now.Sub(simulationStart) < longest {
		s.now = s.now.Add(simulationStep)
		for i, vm := range s.vms {
			s.endPull(vm)
			if !s.now.Before(vm.nextExchange) {
				s.exchange(vm, i)
			}
			if vm.notice != nil && vm.pullEndsAt.IsZero() {
				s.pull(vm)
			}
		}
	}
}

// exchange lets a VM and another one, the seed at first, tell each other what they have.
func (s *startSimulation) exchange(vm *startingVM, index int) {
	other := s.vms[s.rand.IntN(s.VMs)]
	if vm.nextExchange.Sub(simulationStart) < simulationStartSpread && index > 0 {
		other = s.vms[0]
	}
	vm.nextExchange = s.now.Add(simulationExchange)
	vm.notify(other)
	other.notify(vm)
}

func (v *startingVM) notify(holder *startingVM) {
	if holder.holds && !v.holds {
		v.notice = holder
	}
}

func (s *startSimulation) pull(vm *startingVM) {
	source := vm.notice
	vm.notice = nil
	if vm.holds || !s.Unlimited && !source.budget.IsOpen(false, s.now) {
		return
	}
	source.budget.Add(s.SnapshotBytes, s.now)
	source.sending++
	// Snapshots that are sent together share the link.
	took := time.Duration(float64(source.sending*s.SnapshotBytes) / s.LinkBytesPerSecond * float64(time.Second))
	vm.source = source
	vm.served = took <= simulationPull
	vm.pullEndsAt = s.now.Add(min(took, simulationPull) + simulationApply)
}

func (s *startSimulation) endPull(vm *startingVM) {
	if vm.pullEndsAt.IsZero() || s.now.Before(vm.pullEndsAt) {
		return
	}
	vm.pullEndsAt = time.Time{}
	vm.source.sending--
	if !vm.served {
		s.abandoned++
		return
	}
	vm.holds = true
	s.holders++
	for range simulationFanout {
		s.vms[s.rand.IntN(s.VMs)].notify(vm)
	}
}

// TestSnapshotBudget checks that a VM sends no more than a part of its link carries, and
// goes on once that is sent.
func TestSnapshotBudget(t *testing.T) {
	b := SnapshotBudget{
		LinkBytesPerSecond: 2e6,
	}
	now := simulationStart
	sent := 0
	for now.Sub(simulationStart) < 10*time.Second {
		if b.IsOpen(false, now) {
			b.Add(100_000, now)
			sent++
		}
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, sent >= 100 && sent <= 107, "sent %d snapshots of a tenth of a second each", sent)
}

// TestSnapshotsForNewVMsFirst guards against peers that are a little behind and take the
// place of those that have nothing.
func TestSnapshotsForNewVMsFirst(t *testing.T) {
	b := SnapshotBudget{
		LinkBytesPerSecond: 2e6,
	}
	now := simulationStart
	assert.Assert(t, b.IsOpen(true, now))
	b.Add(100_000, now)
	assert.Assert(t, !b.IsOpen(true, now))
	assert.Assert(t, b.IsOpen(false, now))
	assert.Assert(t, b.IsOpen(true, now.Add(100*time.Millisecond)))
}
