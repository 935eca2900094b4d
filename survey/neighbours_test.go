package survey

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestNeighbours checks that different engines are returned, at most maxNeighbours.
func TestNeighbours(t *testing.T) {
	for _, size := range []int{0, 1, 4, 300} {
		var warm []fleet.Endpoint
		for i := range size {
			warm = append(warm, fleet.Endpoint{ID: fmt.Sprint(i)})
		}
		seen := make(map[string]bool)
		for _, e := range Neighbours(warm, func(n int) int { return n - 1 }) {
			seen[e.ID] = true
		}
		assert.Equal(t, len(seen), min(size, maxNeighbours))
	}
}
