package configuration

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// watchersPerDataCentre is how many VMs of a data centre watch the platform, so
// that its reads grow with data centres. Two stand in for each other.
const watchersPerDataCentre = 2

// Watchers returns the ids of the VMs that watch the platform, best first, out of
// the reachable VMs of one data centre. Leaving VMs do not count.
func Watchers(vms []fleet.VM) []string {
	ranked := ranked(vms)
	return ids(ranked[:min(len(ranked), watchersPerDataCentre)])
}

// Sources returns the ids of the VMs to pull documents from, best first: the
// watchers of one's own data centre, the watchers of the others, one's own
// region before the rest, then all VMs that do not watch in the same order.
// vms are the reachable ones of all data centres, with self.
func Sources(self string, vms []fleet.VM) []string {
	i := slices.IndexFunc(vms, func(vm fleet.VM) bool { return vm.ID == self })
	var own fleet.VM
	if i >= 0 {
		own = vms[i]
	}
	live := ranked(vms)
	watching := watching(live)
	live = slices.DeleteFunc(live, func(vm fleet.VM) bool { return vm.ID == self })
	slices.SortStableFunc(live, func(a, b fleet.VM) int {
		return cmp.Compare(distance(own, a, watching[a.ID]), distance(own, b, watching[b.ID]))
	})
	return ids(live)
}

// watching returns the watchers of all data centres.
func watching(vms []fleet.VM) map[string]bool {
	centres := make(map[string][]fleet.VM)
	for _, vm := range vms {
		centres[vm.DataCentre] = append(centres[vm.DataCentre], vm)
	}
	out := make(map[string]bool)
	for _, members := range centres {
		for _, id := range Watchers(members) {
			out[id] = true
		}
	}
	return out
}

// distance orders sources; less is better.
func distance(own, vm fleet.VM, watches bool) int {
	d := 0
	if !watches {
		d += 4
	}
	if vm.Region != own.Region {
		d += 2
	}
	if vm.DataCentre != own.DataCentre {
		d++
	}
	return d
}

// ranked returns the VMs that are not leaving, by the hash of their ids.
func ranked(vms []fleet.VM) []fleet.VM {
	live := slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.State == fleet.StateLeaving })
	slices.SortFunc(live, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return live
}

func ids(vms []fleet.VM) []string {
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		out = append(out, vm.ID)
	}
	return out
}

// Duty is how a VM gets its documents now.
type Duty int

// The duties. All VMs pull from Sources when a heartbeat shows another digest.
const (
	// DutyPull reads nothing at the platform.
	DutyPull Duty = iota
	// DutyProbe reads the platform's values and list once, above the revisions
	// held, without waiting.
	DutyProbe
	// DutyWatch watches the platform, from the revision its own last watch ended at.
	DutyWatch
)

// Periods of a Relay.
const (
	probeEvery = 10 * time.Second
	// takeOverFor is how long a VM watches after a probe found the watchers behind.
	takeOverFor = 2 * time.Minute
)

// Relay decides the duty of one VM. A watcher may be alive and yet silent, cut
// off from the platform or fed by a stale replica. Heartbeats do not show that,
// so the other VMs of the data centre probe the platform, together about once
// in each probe period, however many they are. One that learns something from a
// probe watches too for a while.
type Relay struct {
	self      string
	rand      func() uint64
	probeAt   time.Time
	takenOver time.Time
}

// RelayOptions set up a Relay.
type RelayOptions struct {
	Self string
	// Rand returns random bits.
	Rand func() uint64
}

// NewRelay makes a relay for one VM.
func NewRelay(o RelayOptions) *Relay {
	return &Relay{
		self: o.Self,
		rand: o.Rand,
	}
}

// Duty returns the duty now. vms are the reachable VMs of the VM's own data
// centre, with itself. A VM that is not among them watches: it knows no other.
func (r *Relay) Duty(vms []fleet.VM, now time.Time) Duty {
	if r.watches(vms) || now.Before(r.takenOver) {
		return DutyWatch
	}
	if now.Before(r.probeAt) {
		return DutyPull
	}
	first := r.probeAt.IsZero()
	r.probeAt = now.Add(probeEvery)
	others := uint64(max(len(vms)-watchersPerDataCentre, 1))
	if first || r.rand()%others != 0 {
		return DutyPull
	}
	return DutyProbe
}

// Next gives when Duty may change without a change of the VMs.
func (r *Relay) Next() time.Time {
	if r.takenOver.After(r.probeAt) {
		return r.takenOver
	}
	return r.probeAt
}

// Probed takes the outcome of a probe: whether it brought something new.
func (r *Relay) Probed(changed bool, now time.Time) {
	if changed {
		r.takenOver = now.Add(takeOverFor)
	}
}

func (r *Relay) watches(vms []fleet.VM) bool {
	known := slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.ID == r.self })
	return !known || slices.Contains(Watchers(vms), r.self)
}
