package routing

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// ringPoints is how many points each endpoint has on the ring.
const ringPoints = 64

// ring is a consistent hash ring, the same on all VMs that have the same list.
type ring struct {
	points    []point
	endpoints []*endpoint
}

type point struct {
	hash  uint64
	index int32
}

// newRing places all listed endpoints, so that a change of state moves nothing.
func newRing(list []fleet.Endpoint) ring {
	points := make([]point, 0, len(list)*ringPoints)
	for i, e := range list {
		for n := range ringPoints {
			points = append(points, point{
				hash:  xxhash.Sum64String(e.ID + "#" + strconv.Itoa(n)),
				index: int32(i),
			})
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring{points: points}
}

// bind sets the endpoints that the points' indexes mean.
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

// pair returns the first two different eligible endpoints from hash on. Either may
// be nil; both are for hash zero, which means no prefix.
func (r *ring) pair(hash uint64) (first, second *endpoint) {
	if len(r.points) == 0 || hash == 0 {
		return nil, nil
	}
	start := r.search(hash)
	for i := range min(len(r.points), 2*ringPoints) {
		e := r.endpoints[r.points[(start+i)%len(r.points)].index]
		switch {
		case e.place < 0:
		case first == nil:
			first = e
		case e != first:
			return first, e
		}
	}
	return first, nil
}
