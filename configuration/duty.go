package configuration

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// watchersPerDataCentre is the number of VMs in a data centre that watch the platform.
// The second one is for redundancy.
const watchersPerDataCentre = 2

// Watchers returns the IDs of the VMs that watch the platform, in rank order. vms are
// the reachable VMs of one data centre. Leaving ones are ignored.
func Watchers(vms []fleet.VM) []string {
	ranked := rankVMs(vms)
	return ids(ranked[:min(len(ranked), watchersPerDataCentre)])
}

// PullSources returns the IDs of the VMs to pull documents from, in order of preference:
// watchers before others, and among these the own data centre before the rest of the
// own region before other regions. vms are the reachable VMs of all data centres,
// including self.
func PullSources(self string, vms []fleet.VM) []string {
	i := slices.IndexFunc(vms, func(vm fleet.VM) bool { return vm.ID == self })
	var own fleet.VM
	if i >= 0 {
		own = vms[i]
	}
	live := rankVMs(vms)
	watching := allWatchers(live)
	live = slices.DeleteFunc(live, func(vm fleet.VM) bool { return vm.ID == self })
	slices.SortStableFunc(live, func(a, b fleet.VM) int {
		return cmp.Compare(sourceCost(own, a, watching[a.ID]), sourceCost(own, b, watching[b.ID]))
	})
	return ids(live)
}

// allWatchers returns the watchers of all data centres.
func allWatchers(vms []fleet.VM) map[string]bool {
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

// sourceCost ranks a source. Lower is better.
func sourceCost(own, vm fleet.VM, watches bool) int {
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

// rankVMs returns the VMs that aren't leaving, sorted by the hashes of their IDs.
func rankVMs(vms []fleet.VM) []fleet.VM {
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

// Duty is how a VM currently obtains documents.
type Duty int

// Duties. All VMs also pull from PullSources when a heartbeat shows a different digest.
const (
	// DutyPull doesn't read from the platform.
	DutyPull Duty = iota
	// DutyProbe reads the platform's list and its values above the held revisions once,
	// without waiting.
	DutyProbe
	// DutyWatch watches the platform, starting at the revision where this VM's last
	// watch ended.
	DutyWatch
)

// Intervals of a DutySelector.
const (
	probeInterval = 10 * time.Second
	// takeoverPeriod is how long a VM watches after its probe has shown that the
	// watchers lag.
	takeoverPeriod = 2 * time.Minute
)

// DutySelector selects the duty of one VM. A watcher can be alive but cut off from the
// platform, or read from a stale replica, which heartbeats don't show. The other VMs of
// the data centre therefore probe the platform, together about once per interval. A VM
// whose probe finds something new watches for a while too.
type DutySelector struct {
	self        string
	rand        func() uint64
	nextProbeAt time.Time
	watchUntil  time.Time
}

// DutySelectorOptions configures a DutySelector.
type DutySelectorOptions struct {
	Self string
	// Rand returns random bits.
	Rand func() uint64
}

// NewDutySelector returns a DutySelector for one VM.
func NewDutySelector(o DutySelectorOptions) *DutySelector {
	return &DutySelector{
		self: o.Self,
		rand: o.Rand,
	}
}

// Duty returns the duty for now. vms are the reachable VMs of the own data centre,
// including this one. A VM that isn't among them watches, as it knows no other.
func (s *DutySelector) Duty(vms []fleet.VM, now time.Time) Duty {
	if s.isWatcher(vms) || now.Before(s.watchUntil) {
		return DutyWatch
	}
	if now.Before(s.nextProbeAt) {
		return DutyPull
	}
	first := s.nextProbeAt.IsZero()
	s.nextProbeAt = now.Add(probeInterval)
	others := uint64(max(len(vms)-watchersPerDataCentre, 1))
	if first || s.rand()%others != 0 {
		return DutyPull
	}
	return DutyProbe
}

// Next returns when Duty may change if the VMs don't.
func (s *DutySelector) Next() time.Time {
	if s.watchUntil.After(s.nextProbeAt) {
		return s.watchUntil
	}
	return s.nextProbeAt
}

// RecordProbe records whether a probe returned anything new.
func (s *DutySelector) RecordProbe(changed bool, now time.Time) {
	if changed {
		s.watchUntil = now.Add(takeoverPeriod)
	}
}

func (s *DutySelector) isWatcher(vms []fleet.VM) bool {
	known := slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.ID == s.self })
	return !known || slices.Contains(Watchers(vms), s.self)
}
