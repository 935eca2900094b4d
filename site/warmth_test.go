package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
)

func sharing(id uint64, tokens int) *call.Call {
	parts := []call.PromptPart{{ID: id, Tokens: tokens}, {ID: 99, Tokens: 10}}
	return &call.Call{
		PrefixHash: call.SharedPrefix(parts),
		Routed:     &call.Routed{Parts: parts},
	}
}

// TestWarmth holds that a use is told once while it is new, is believed for a
// while, and that short beginnings are left out.
func TestWarmth(t *testing.T) {
	now := time.Unix(1e9, 0)
	own, other := newWarmth(), newWarmth()
	long, short := sharing(1, warmLeast), sharing(2, warmLeast-1)
	own.touch(long, "a", now)
	own.touch(short, "a", now)
	assert.Assert(t, own.holds(long.PrefixHash, "a", now))
	assert.Assert(t, !own.holds(short.PrefixHash, "a", now))
	assert.Assert(t, !own.holds(long.PrefixHash, "b", now))

	assert.Equal(t, len(own.message("b", now)), 0)
	later := now.Add(time.Second)
	other.take(own.message("a", later), later)
	assert.Assert(t, other.holds(long.PrefixHash, "a", now.Add(warmFor-time.Millisecond)))
	assert.Assert(t, !other.holds(long.PrefixHash, "a", now.Add(warmFor)))
	assert.Equal(t, len(own.message("a", now.Add(warmNew))), 0)
}
