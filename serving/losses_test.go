package serving

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLosses holds that copies are kept for a while after an answer broke off.
func TestLosses(t *testing.T) {
	var l losses
	now := time.Unix(1e9, 0)
	assert.Assert(t, !l.recent(now))
	l.note(now)
	assert.Assert(t, l.recent(now.Add(lossesFor-time.Second)))
	assert.Assert(t, !l.recent(now.Add(lossesFor)))
}
