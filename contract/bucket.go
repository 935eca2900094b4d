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

// LimitsIn returns the limits in a region; ok is false if the region may not serve the
// workspace.
func (c *Contract) LimitsIn(region string) (terms RegionLimits, ok bool) {
	if c.HomeOnly && region != c.Home {
		return RegionLimits{}, false
	}
	i := slices.IndexFunc(c.Regions, func(t RegionLimits) bool { return t.Region == region })
	if i < 0 {
		return RegionLimits{}, false
	}
	return c.Regions[i], true
}
