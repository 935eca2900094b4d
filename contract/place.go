package contract

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Keys of the published documents; contract buckets are "contracts/0", "contracts/1" and so on.
const (
	KeyModels       = "models"
	KeyRegions      = "regions"
	KeyBucketPrefix = "contracts/"
)

// BucketOf returns the bucket that the workspace's contract is published in.
func BucketOf(workspace string, buckets int) int {
	return int(xxhash.Sum64String(workspace) % uint64(buckets))
}

// Terms returns the contract's terms in a region, if the region may serve it.
func (c *Contract) Terms(region string) (RegionTerms, bool) {
	if c.Bound && region != c.Home {
		return RegionTerms{}, false
	}
	i := slices.IndexFunc(c.Regions, func(t RegionTerms) bool { return t.Region == region })
	if i < 0 {
		return RegionTerms{}, false
	}
	return c.Regions[i], true
}
