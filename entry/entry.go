// Package entry decides which VMs the callers of a workspace use. It ranks the VMs of a
// region by rendezvous hashing, so that all VMs agree without communication and the loss
// of a VM moves only the workspaces it owned.
package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// MinEntryVMs is the minimum number of entry VMs of a workspace: its owner and a
	// backup.
	MinEntryVMs = 2
	// RequestsPerSecondPerVM is the contracted rate of a workspace per entry VM. A
	// workspace with a higher rate is spread over more VMs.
	RequestsPerSecondPerVM = 5
)

// Hash returns the hash of a workspace or VM ID, as used by Score.
func Hash(id string) uint64 {
	return xxhash.Sum64String(id)
}

// Score returns the rendezvous weight of a VM for a workspace, given their hashes. The VM
// with the highest score owns the workspace; the lower ID wins a tie.
func Score(workspace, vm uint64) uint64 {
	return splitMix64(workspace ^ splitMix64(vm))
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea, Flood 2014), a bijection in
// which every output bit depends on all input bits.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Rank returns the VMs in descending order of their score for the workspace, the owner
// first. The result is independent of the input order; the input is not modified.
func Rank(workspace string, vms []fleet.VM) []fleet.VM {
	h := Hash(workspace)
	scored := make([]scoredVM, len(vms))
	for i, vm := range vms {
		scored[i] = scoredVM{
			index: i,
			score: Score(h, Hash(vm.ID)),
		}
	}
	slices.SortFunc(scored, func(a, b scoredVM) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(vms[a.index].ID, vms[b.index].ID))
	})
	ranked := make([]fleet.VM, len(vms))
	for i, s := range scored {
		ranked[i] = vms[s.index]
	}
	return ranked
}

type scoredVM struct {
	index int
	score uint64
}

// Owner returns the ID of the VM that Rank puts first, or "" if there are none. It does
// not allocate.
func Owner(workspace string, ids []string) string {
	first := highestScore(Hash(workspace), len(ids), func(i int) string { return ids[i] })
	if first < 0 {
		return ""
	}
	return ids[first]
}

// HighestRanked returns the highest ranked VM for a hash, and false if there are none. It does not
// allocate.
func HighestRanked(hash uint64, vms []fleet.VM) (fleet.VM, bool) {
	first := highestScore(hash, len(vms), func(i int) string { return vms[i].ID })
	if first < 0 {
		return fleet.VM{}, false
	}
	return vms[first], true
}

// highestScore returns the index of the ID with the highest score, or -1 if there are
// none. The lower ID wins a tie.
func highestScore(hash uint64, count int, id func(int) string) int {
	first := -1
	var highest uint64
	for i := range count {
		score := Score(hash, Hash(id(i)))
		if first < 0 || score > highest || (score == highest && id(i) < id(first)) {
			first = i
			highest = score
		}
	}
	return first
}

// VMCount returns the number of entry VMs of a workspace. It depends only on the contract
// and the number of VMs, so that all VMs agree.
func VMCount(terms contract.RegionLimits, vms int) int {
	k := vms
	if needed := math.Ceil(terms.RequestsPerSecond / RequestsPerSecondPerVM); needed < float64(vms) {
		k = int(needed)
	}
	return min(max(k, MinEntryVMs), vms)
}

// Order returns the VMs in the order in which a caller should try them, beginning with the
// k entry VMs. If k is greater than MinEntryVMs, the entry VMs are rotated by nonce, which
// differs between callers, to balance the load.
func Order(workspace string, vms []fleet.VM, k int, nonce uint64) []fleet.VM {
	ranked := Rank(workspace, vms)
	k = min(k, len(ranked))
	if k <= MinEntryVMs {
		return ranked
	}
	first := int(nonce % uint64(k))
	entries := slices.Concat(ranked[first:k], ranked[:first])
	copy(ranked, entries)
	return ranked
}
