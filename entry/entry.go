// Package entry decides which VMs a workspace's callers use. It ranks the VMs of
// a region by rendezvous hashing, so that all VMs agree without a word between
// them, and the loss of one VM moves only that VM's own workspaces.
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
	// MinSpread is the least number of entry VMs of a workspace: its owner and one more.
	MinSpread = 2
	// RatePerVM is the contracted requests per second that one VM takes of one
	// workspace before the workspace is spread over more VMs.
	RatePerVM = 5
)

// Hash returns the hash of a workspace or VM id that Score combines.
func Hash(id string) uint64 {
	return xxhash.Sum64String(id)
}

// Score returns the rank weight of a VM for a workspace from their hashes. The
// VM with the highest score owns the workspace; on a tie the lower id does.
func Score(workspace, vm uint64) uint64 {
	return mix(workspace ^ mix(vm))
}

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood 2014), a bijection
// whose output bits each depend on all input bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Rank returns the VMs in the workspace's order, the owner first. The result does
// not depend on the order of the input, which is left as it is.
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

// Owner returns the id that Rank puts first, or "" when there are none. It does not allocate.
func Owner(workspace string, ids []string) string {
	first := best(Hash(workspace), len(ids), func(i int) string { return ids[i] })
	if first < 0 {
		return ""
	}
	return ids[first]
}

// First returns the VM that ranks first for a hash, and false when there are none. It
// does not allocate.
func First(hash uint64, vms []fleet.VM) (fleet.VM, bool) {
	first := best(hash, len(vms), func(i int) string { return vms[i].ID })
	if first < 0 {
		return fleet.VM{}, false
	}
	return vms[first], true
}

// best returns the index of the id with the highest score, or -1 when there are none;
// on a tie the lower id wins.
func best(hash uint64, count int, id func(int) string) int {
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

// Spread returns the number of entry VMs of a workspace. It depends on the
// contract and the number of VMs alone, so that all VMs agree.
func Spread(terms contract.RegionTerms, vms int) int {
	k := vms
	if wanted := math.Ceil(terms.RequestsPerSecond / RatePerVM); wanted < float64(vms) {
		k = int(wanted)
	}
	return min(max(k, MinSpread), vms)
}

// Order returns the VMs in the order in which one caller should try them. The k
// entry VMs come first. A workspace with more than MinSpread of them is hot:
// nonce, which differs from caller to caller, rotates them to spread its calls.
func Order(workspace string, vms []fleet.VM, k int, nonce uint64) []fleet.VM {
	ranked := Rank(workspace, vms)
	k = min(k, len(ranked))
	if k <= MinSpread {
		return ranked
	}
	first := int(nonce % uint64(k))
	entries := slices.Concat(ranked[first:k], ranked[:first])
	copy(ranked, entries)
	return ranked
}
