package entry

import "slices"

// Elsewhere returns the regions whose VMs a client may use while none of its own
// region takes calls. own is the region of the VM that is asked, reached those
// with VMs that take calls, and bound the homes of each route that is bound to
// some. A bound call must not come to a VM of a region that is neither the
// client's nor a home, however near; so the regions that are homes of the most
// routes are given, or own alone where it is one of them.
func Elsewhere(own string, bound [][]string, reached []string) []string {
	var best []string
	most := 0
	for _, region := range reached {
		count := countHome(bound, region)
		if count > most {
			best = nil
			most = count
		}
		if count == most {
			best = append(best, region)
		}
	}
	if len(best) == 0 || slices.Contains(best, own) {
		return []string{own}
	}
	return best
}

func countHome(bound [][]string, region string) int {
	count := 0
	for _, homes := range bound {
		if slices.Contains(homes, region) {
			count++
		}
	}
	return count
}
