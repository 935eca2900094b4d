package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// wrongedMost is the part of the calls that came again, as they had only been near a
// crash, which may be held: seldom enough for their callers not to notice.
const wrongedMost = 0.05

// TestCrashingCalls plays callers that send a call again and again which crashes each
// endpoint that runs it.
//
// What users saw: over ten seconds most endpoints of all regions went down one after
// the other, up to 17, and a third of all calls failed. The order of events: a call
// came to a VM, which sent it to one endpoint; that crashed as it began to run it, with
// all that it ran; the caller sent the call again, under another id and to another
// VM, and that chose the next endpoint that looked well. The cause: nothing outlived a
// try, so that no VM, nor the one before, knew what the call had done.
//
// What proved it: the lines of the VMs hold 13 such ends of one spell. In each one of
// the 5 to 75 calls that were cut, twice two or three, had the same route and length, no
// event and one attempt, under 16 different ids, at all eight VMs; and endpoints that
// were crashed on a day of our own were gone when they were dialled at once.
func TestCrashingCalls(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name     string
		Seeds    uint64
		Crashing Crashing
	}](t, "testdata/crashing.json") {
		if c.Crashing.Regions*c.Crashing.VMs > mostVMs {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			sum := PlayAll(Options{
				Seed:     1,
				For:      playFor,
				Crashing: c.Crashing,
			}, max(c.Seeds/slower, 1))
			t.Logf("%d requests, %d runs, %d endpoints crashed under calls; %d of %d others that broke off and came again were held",
				sum.Requests, sum.Runs, sum.Crashed, sum.Wronged, sum.Repeated)
			for _, r := range sum.Bad[:min(len(sum.Bad), shownMost)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Bad), 0)
			assert.Assert(t, float64(sum.Wronged) <= wrongedMost*float64(sum.Repeated))
		})
	}
}
