package slowstart

import (
	"math"

	"github.com/fuchsianotch/fuchsianotch/entry"
)

// Rank returns the position of a VM among all VMs that share an engine's limit, by rendezvous
// hashing on the engine and the VM, so that VMs with the same list agree.
func Rank(engine, vm string, vms []string) int {
	hash := entry.Hash(engine)
	own := entry.Score(hash, entry.Hash(vm))
	rank := 0
	for _, other := range vms {
		score := entry.Score(hash, entry.Hash(other))
		if other != vm && (score > own || score == own && other < vm) {
			rank++
		}
	}
	return rank
}

// maxCalls keeps an unlimited number of calls in the range of integers.
const maxCalls = 1 << 30

// Part returns how many calls the VM with the given rank may have in flight. The parts of all
// VMs add up to the whole calls of the limit.
func Part(calls float64, rank, vms int) int {
	whole := max(int(min(calls, maxCalls)), 1)
	part := whole / vms
	if rank < whole%vms {
		part++
	}
	return part
}

// Least returns the least limit of an endpoint, relative to the mean number of calls at one.
// Calls that limited endpoints don't get make the others busier by a quarter at most; where
// half of the endpoints or more are limited, they get the mean or more. As the others queue
// for longer than LatenessTolerance, in seconds, a limit would only move calls to endpoints
// that are no better placed.
func Least(mean, queueDelay float64, limited, endpoints int) float64 {
	if limited >= endpoints {
		return math.Inf(1)
	}
	return mean * max(float64(limited)/float64(endpoints-limited), queueDelay/LatenessTolerance.Seconds())
}

// ExpectedLateness returns how many seconds later than at a neighbour the first token of one
// more call is expected, for a VM with inFlight calls at an engine; zero within its part. At
// the limit an engine is taken to be as late as LatenessTolerance, and lateness to grow with
// the calls.
func ExpectedLateness(calls float64, rank, vms, inFlight int) float64 {
	part := Part(calls, rank, vms)
	if inFlight < part {
		return 0
	}
	// A VM without a whole call of its own counts its fraction of the limit.
	room := max(float64(part), calls/float64(vms))
	return LatenessTolerance.Seconds() * float64(inFlight+1) / room
}
