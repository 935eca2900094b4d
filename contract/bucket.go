package contract

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Keys of the published documents. The bucket with index N is "contracts/N".
const (
	KeyModels       = "models"
	KeyRegions      = "regions"
	KeyBucketPrefix = "contracts/"
)

// BucketOf returns the index of the bucket that holds the workspace's contract.
func BucketOf(workspace string, buckets int) int {
	return int(xxhash.Sum64String(workspace) % uint64(buckets))
}

// Terms returns the limits in a region; ok is false if the region may not serve the
// workspace.
func (c *Contract) Terms(region string) (terms RegionTerms, ok bool) {
	if c.Bound && region != c.Home {
		return RegionTerms{}, false
	}
	i := slices.IndexFunc(c.Regions, func(t RegionTerms) bool { return t.Region == region })
	if i < 0 {
		return RegionTerms{}, false
	}
	return c.Regions[i], true
}
