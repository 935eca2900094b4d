package entry

import "slices"

// FallbackRegions returns the regions whose VMs a client may use while no VM of its own region
// accepts calls. own is the region of the VM that answers the client, reached lists the
// regions with VMs that accept calls, and bound holds the home regions of each route
// restricted to some. Calls of such a route must not reach a VM outside the client's
// region and the route's homes. FallbackRegions therefore returns the regions that are homes
// of the most routes, or only own if it is one of them. It returns none while no home is
// reached: the client then keeps what it was told before, or asks another VM.
func FallbackRegions(own string, bound [][]string, reached []string) []string {
	var best []string
	maxCount := 0
	for _, region := range reached {
		count := countRoutes(bound, region)
		if count > maxCount {
			best = nil
			maxCount = count
		}
		if count == maxCount {
			best = append(best, region)
		}
	}
	if maxCount == 0 && len(bound) > 0 {
		return nil
	}
	if len(best) == 0 || slices.Contains(best, own) {
		return []string{own}
	}
	return best
}

func countRoutes(bound [][]string, region string) int {
	count := 0
	for _, homes := range bound {
		if slices.Contains(homes, region) {
			count++
		}
	}
	return count
}
