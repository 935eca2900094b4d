package survey

import "github.com/fuchsianotch/fuchsianotch/fleet"

// maxNeighbours bounds the engines that are probed as one was found cold. Each of them that
// is cold too leads to further ones.
const maxNeighbours = 8

// Neighbours returns the engines to probe at once as an engine was found cold that counted as
// warm: random ones of warm, which are those of its service and data centre. Engines of a data
// centre often become cold together, as after it was emptied, and the store may be silent.
// pick returns a random number below n.
func Neighbours(warm []fleet.Endpoint, pick func(n int) int) []fleet.Endpoint {
	count := min(len(warm), maxNeighbours)
	for i := range count {
		j := i + pick(len(warm)-i)
		warm[i], warm[j] = warm[j], warm[i]
	}
	return warm[:count]
}
