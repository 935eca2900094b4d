package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRunGrants checks that a call gets as many runs as its limit, and none after its end.
func TestRunGrants(t *testing.T) {
	g := NewRunGrants()
	single, double := g.Open(1), g.Open(2)
	assert.Assert(t, !g.Grant(single))
	assert.Assert(t, g.Grant(double))
	assert.Assert(t, !g.Grant(double))
	assert.Equal(t, g.Close(single), 1)
	assert.Equal(t, g.Close(double), 2)
	assert.Equal(t, g.Close(double), 0)
	unused := g.Open(3)
	assert.Equal(t, g.Close(unused), 1)
	assert.Assert(t, !g.Grant(unused))
	assert.Assert(t, !NewRunGrants().Grant(unused))
}
