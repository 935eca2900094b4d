package routing

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const pointsPerEndpoint = 64

// ring is a consistent hash ring, the same on all VMs with the same list.
type ring struct {
	points    []ringPoint
	endpoints []*endpoint
}

type ringPoint struct {
	hash  uint64
	index int32
}

// newRing places all listed endpoints, whatever their state, so that a change of state
// moves no prefixes.
func newRing(list []fleet.Endpoint) ring {
	points := make([]ringPoint, 0, len(list)*pointsPerEndpoint)
	for i, e := range list {
		for n := range pointsPerEndpoint {
			points = append(points, ringPoint{
				hash:  xxhash.Sum64String(e.ID + "#" + strconv.Itoa(n)),
				index: int32(i),
			})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return ring{points: points}
}

// bind sets the endpoints that the points' indexes refer to.
func (r *ring) bind(endpoints []*endpoint) {
	r.endpoints = endpoints
}

// search returns the position of the first point at or after hash.
func (r *ring) search(hash uint64) int {
	low, high := 0, len(r.points)
	for low < high {
		mid := int(uint(low+high) >> 1)
		if r.points[mid].hash < hash {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// lookup returns the first two distinct eligible endpoints at or after hash. Either may
// be nil; both are for hash zero, which means no prefix.
func (r *ring) lookup(hash uint64) (first, second *endpoint) {
	if len(r.points) == 0 || hash == 0 {
		return nil, nil
	}
	start := r.search(hash)
	for i := range min(len(r.points), 2*pointsPerEndpoint) {
		e := r.endpoints[r.points[(start+i)%len(r.points)].index]
		switch {
		case e.eligibleIndex < 0:
		case first == nil:
			first = e
		case e != first:
			return first, e
		}
	}
	return first, nil
}
