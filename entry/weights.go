package entry

import (
	"cmp"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// minListed is the least number of VMs in a caller's list, so that others remain when
	// a few are lost.
	minListed = 4
	// saturatedWeight is the weight of a saturated VM relative to its CPU. It still gets
	// calls, as it refuses a part only, and callers that left it would saturate others.
	saturatedWeight = 0.5
)

// SelectWeighted returns at most limit VMs for a client to use, like SelectVMs, but with
// each VM in a fraction of the clients' lists that is proportional to its CPU. Clients
// spread their calls evenly over their lists, so the calls of VMs are in the same
// proportion. The selection is as that of SelectVMs while the CPUs are equal or unknown.
func SelectWeighted(client, dataCentre string, vms []fleet.VM, limit int) []fleet.VM {
	if !cpusDiffer(vms) {
		return SelectVMs(client, dataCentre, vms, limit)
	}
	vms = weightedLocal(dataCentre, vms)
	hash := Hash(client)
	count := min(listLength(cpusOf(vms), uniform(splitMix64(hash))), limit)
	if len(vms) <= count {
		return vms
	}
	return draw(hash, vms, inclusionProbabilities(weightsOf(vms), count), count)
}

func cpusDiffer(vms []fleet.VM) bool {
	var first uint32
	for _, vm := range vms {
		if vm.Millicores == 0 {
			continue
		}
		if first == 0 {
			first = vm.Millicores
		}
		if vm.Millicores != first {
			return true
		}
	}
	return false
}

// weightedLocal returns the VMs of the client's data centre if their CPU suffices for it,
// as in SelectVMs, and all VMs otherwise.
func weightedLocal(dataCentre string, vms []fleet.VM) []fleet.VM {
	local := inDataCentre(dataCentre, vms)
	weights := weightsOf(vms)
	localSum, sum := 0.0, 0.0
	for i, vm := range vms {
		sum += weights[i]
		if vm.DataCentre == dataCentre {
			localSum += weights[i]
		}
	}
	if localSum >= minLocalFraction*sum/float64(countDataCentres(vms)) {
		return local
	}
	return vms
}

// cpusOf returns the CPUs of VMs. A VM whose CPU is unknown has the mean of the others.
func cpusOf(vms []fleet.VM) []float64 {
	sum, known := 0.0, 0
	for _, vm := range vms {
		if vm.Millicores > 0 {
			sum += float64(vm.Millicores)
			known++
		}
	}
	out := make([]float64, len(vms))
	for i, vm := range vms {
		out[i] = float64(vm.Millicores)
		if vm.Millicores == 0 {
			out[i] = sum / float64(max(known, 1))
		}
	}
	return out
}

// weightsOf returns the CPUs of VMs, less for those that are saturated.
func weightsOf(vms []fleet.VM) []float64 {
	weights := cpusOf(vms)
	for i, vm := range vms {
		if vm.Saturated {
			weights[i] *= saturatedWeight
		}
	}
	return weights
}

// listLength returns the length of a list with which the calls of VMs can be in proportion
// to their CPUs: in a longer one, the largest VM would have to be listed more than once.
// The length is rounded by a random number of the client, so that a small change of the
// fleet changes it for few clients.
func listLength(cpus []float64, rounding float64) int {
	sum, largest := 0.0, 0.0
	for _, cpu := range cpus {
		sum += cpu
		largest = max(largest, cpu)
	}
	return max(int(sum/largest+rounding), minListed)
}

// inclusionProbabilities returns the probability of each VM to be one of count in a list:
// in proportion to the weights, but at most 1.
func inclusionProbabilities(weights []float64, count int) []float64 {
	out := make([]float64, len(weights))
	for {
		left, sum := float64(count), 0.0
		for i, w := range weights {
			if out[i] == 1 {
				left--
			} else {
				sum += w
			}
		}
		capped := false
		for i, w := range weights {
			if out[i] == 1 {
				continue
			}
			out[i] = left * w / sum
			if out[i] >= 1 {
				out[i] = 1
				capped = true
			}
		}
		if !capped {
			return out
		}
	}
}

// draw draws count VMs with the given probabilities, and keeps their order. Each VM has a
// random number that follows from the client's hash and its ID, as in rendezvous hashing, so a
// changed weight moves few clients. Ordering by the ratio of the odds of both (Pareto
// sampling, Rosén 1997) meets the probabilities closely; ordering by exponential
// variables, the usual weighted rendezvous hashing, prefers low weights in long lists.
func draw(hash uint64, vms []fleet.VM, probabilities []float64, count int) []fleet.VM {
	type drawn struct {
		index int
		ratio float64
	}
	order := make([]drawn, len(vms))
	for i, vm := range vms {
		p := probabilities[i]
		u := uniform(Score(hash, Hash(vm.ID)))
		order[i] = drawn{
			index: i,
			ratio: u * (1 - p) / ((1 - u) * p),
		}
	}
	slices.SortFunc(order, func(a, b drawn) int {
		return cmp.Or(cmp.Compare(a.ratio, b.ratio), cmp.Compare(vms[a.index].ID, vms[b.index].ID))
	})
	order = order[:count]
	slices.SortFunc(order, func(a, b drawn) int { return cmp.Compare(a.index, b.index) })
	out := make([]fleet.VM, count)
	for i, d := range order {
		out[i] = vms[d.index]
	}
	return out
}

// uniform converts a hash to a number between 0 and 1, both excluded.
func uniform(hash uint64) float64 {
	return (float64(hash>>uniformShift) + 0.5) / (1 << uniformBits)
}

// uniformBits is the number of bits of a hash that a float64 represents exactly, with a half
// added.
const (
	uniformBits  = 52
	uniformShift = 64 - uniformBits
)
