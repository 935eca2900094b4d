package routing

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	pointsPerEndpoint = 64
	// maxPointsPerBucket is the average number of points per bucket from which the ring
	// gets twice as many buckets.
	maxPointsPerBucket = 64
)

// ring is a consistent hash ring, the same on all VMs with the same endpoints. It holds
// all listed endpoints, whatever their state, so that a change of state moves no
// prefixes. Points are kept in buckets by the leading bits of their hash, so that adding
// or removing an endpoint costs the same whatever the number of others.
type ring struct {
	// buckets are a power of two in number; points are sorted within each.
	buckets [][]ringPoint
	points  int
	// endpoints are the endpoints by ringPoint.index; freed indexes are reused.
	endpoints []*endpoint
	freed     []int32
}

type ringPoint struct {
	hash  uint64
	index int32
}

// compare orders points by hash. Equal hashes are ordered by endpoint, so that the order
// does not depend on the order of additions.
func (r *ring) compare(a, b ringPoint) int {
	if order := cmp.Compare(a.hash, b.hash); order != 0 || a.index == b.index {
		return order
	}
	return cmp.Compare(r.endpoints[a.index].ID, r.endpoints[b.index].ID)
}

// add places an endpoint on the ring.
func (r *ring) add(e *endpoint) {
	e.ringIndex = r.newIndex(e)
	if r.points+pointsPerEndpoint > maxPointsPerBucket*len(r.buckets) {
		r.split()
	}
	for _, p := range pointsOf(e) {
		bucket := &r.buckets[r.bucketOf(p.hash)]
		at, _ := slices.BinarySearchFunc(*bucket, p, r.compare)
		*bucket = slices.Insert(*bucket, at, p)
	}
	r.points += pointsPerEndpoint
}

// remove takes an endpoint off the ring.
func (r *ring) remove(e *endpoint) {
	for _, p := range pointsOf(e) {
		bucket := &r.buckets[r.bucketOf(p.hash)]
		if at, ok := slices.BinarySearchFunc(*bucket, p, r.compare); ok {
			*bucket = slices.Delete(*bucket, at, at+1)
			r.points--
		}
	}
	r.endpoints[e.ringIndex] = nil
	r.freed = append(r.freed, e.ringIndex)
}

// replace puts an endpoint in the place of another one with the same ID.
func (r *ring) replace(old, e *endpoint) {
	e.ringIndex = old.ringIndex
	r.endpoints[e.ringIndex] = e
}

func (r *ring) newIndex(e *endpoint) int32 {
	if last := len(r.freed) - 1; last >= 0 {
		index := r.freed[last]
		r.freed = r.freed[:last]
		r.endpoints[index] = e
		return index
	}
	r.endpoints = append(r.endpoints, e)
	return int32(len(r.endpoints) - 1)
}

func pointsOf(e *endpoint) [pointsPerEndpoint]ringPoint {
	var out [pointsPerEndpoint]ringPoint
	name := append(make([]byte, 0, len(e.ID)+len("#63")), e.ID...)
	name = append(name, '#')
	for n := range out {
		out[n] = ringPoint{
			hash:  xxhash.Sum64(strconv.AppendInt(name, int64(n), 10)),
			index: e.ringIndex,
		}
	}
	return out
}

func (r *ring) bucketOf(hash uint64) int {
	// A shift by 64, with one bucket, yields zero.
	return int(hash >> (64 - bits.TrailingZeros(uint(len(r.buckets)))))
}

// split doubles the number of buckets.
func (r *ring) split() {
	before := r.buckets
	r.buckets = make([][]ringPoint, max(2*len(before), 1))
	for _, bucket := range before {
		for _, p := range bucket {
			i := r.bucketOf(p.hash)
			r.buckets[i] = append(r.buckets[i], p)
		}
	}
}

// lookup returns the first two distinct eligible endpoints at or after hash. Either may
// be nil; both are for hash zero, which means no prefix.
func (r *ring) lookup(hash uint64) (first, second *endpoint) {
	if r.points == 0 || hash == 0 {
		return nil, nil
	}
	bucket := r.bucketOf(hash)
	at, _ := slices.BinarySearchFunc(r.buckets[bucket], hash, func(p ringPoint, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	for range min(r.points, 2*pointsPerEndpoint) {
		for at == len(r.buckets[bucket]) {
			bucket, at = (bucket+1)%len(r.buckets), 0
		}
		e := r.endpoints[r.buckets[bucket][at].index]
		at++
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
