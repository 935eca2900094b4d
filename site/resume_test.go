package site

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestResumeProbesAreBounded guards against a VM that probes thousands of endpoints after
// a pause, which pauses it again.
func TestResumeProbesAreBounded(t *testing.T) {
	var endpoints []fleet.Endpoint
	for i := range 2600 {
		endpoints = append(endpoints, fleet.Endpoint{
			ID:      fmt.Sprintf("i-%d", i),
			Service: "engines",
		})
	}
	for i := range 5 {
		endpoints = append(endpoints, fleet.Endpoint{
			ID:      fmt.Sprintf("p-%d", i),
			Service: "plain",
		})
	}
	probed, held := splitResumeProbes(endpoints)
	counts := make(map[string]int)
	for _, e := range probed {
		counts[e.Service]++
	}
	assert.DeepEqual(t, counts, map[string]int{"engines": maxResumeProbes, "plain": 5})
	assert.Equal(t, len(held), 2600-maxResumeProbes)
}
