package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPause checks that after a pause of the process a Snapshot isn't current until an
// endpoint probed since has answered or the wait has ended.
func TestPause(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := start.Add
	r := New(Options{
		Every: testEvery,
		Rand:  func() uint64 { return 0 },
	})
	assert.Assert(t, r.Snapshot().Fresh(start))
	r.Step(start)
	before := r.Snapshot()
	assert.Assert(t, before.Fresh(at(suspectIntervals*testEvery)))
	assert.Assert(t, !before.Fresh(at(suspectIntervals*testEvery+1)))

	woke := at(5 * time.Second)
	r.Step(woke)
	assert.Assert(t, !r.Snapshot().Fresh(woke))
	r.RecordProbe(woke.Add(-time.Millisecond))
	assert.Assert(t, !r.Snapshot().Fresh(woke))
	r.RecordProbe(woke)
	assert.Assert(t, r.Snapshot().Fresh(woke))

	again := at(20 * time.Second)
	r.Step(again)
	r.Step(again.Add(testEvery))
	assert.Assert(t, !r.Snapshot().Fresh(again.Add(testEvery)))
	for i := range maxResumeIntervals {
		r.Step(again.Add(time.Duration(i+1) * testEvery))
	}
	assert.Assert(t, r.Snapshot().Fresh(again.Add(maxResumeIntervals*testEvery)))
}
