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
	assert.Equal(t, g.Close(single).Runs, 1)
	assert.Equal(t, g.Close(double).Runs, 2)
	assert.Equal(t, g.Close(double).Runs, 0)
	unused := g.Open(3)
	assert.Equal(t, g.Close(unused).Runs, 1)
	assert.Assert(t, !g.Grant(unused))
	assert.Assert(t, !NewRunGrants().Grant(unused))
}

// TestRestrictedCallRunsOnce guards against a further run of a call that must not be sent again, and
// against a restriction that comes when the call may be elsewhere already.
func TestRestrictedCallRunsOnce(t *testing.T) {
	g := NewRunGrants()
	id := g.Open(3)
	assert.Assert(t, g.Restrict(id))
	assert.Assert(t, !g.Grant(id))
	assert.DeepEqual(t, g.Close(id), GrantedRuns{
		Runs: 1,
		Once: true,
	})
	assert.Assert(t, !g.Restrict(id))
}
