package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/platform"
)

func newTestControl(region string) *control {
	return &control{
		node: &Node{
			deployment: &platform.Deployment{Region: region},
		},
		regionLoads: make(map[loadKey]regionLoad),
		rtts:        make(map[string]time.Duration),
	}
}

func regionLoadMessages(region string, firstMS, ageMS uint32) []*peerpb.RegionLoad {
	return []*peerpb.RegionLoad{{
		Service:   "s",
		Region:    region,
		Endpoints: 2,
		FirstMs:   firstMS,
		AgeMs:     ageMS,
	}}
}

// TestLoadsPassedOn checks that a relayed load report keeps its age, and that reports
// about the local region are ignored.
func TestLoadsPassedOn(t *testing.T) {
	now := time.Unix(1e9, 0)
	source, receiver := newTestControl("a"), newTestControl("a")
	source.applyRegionLoads(append(regionLoadMessages("b", 300, 0), regionLoadMessages("a", 7, 0)...), now)
	later := now.Add(time.Second)
	receiver.applyRegionLoads(source.remoteLoadMessages(later), later)
	assert.Equal(t, len(receiver.regionLoads), 1)

	got := receiver.regionLoadsByService(later)["s"]
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Region, "b")
	assert.Equal(t, got[0].TTFT, 300*time.Millisecond)
	assert.Equal(t, got[0].RoundTrip, defaultRTT)
	assert.Equal(t, len(receiver.regionLoadsByService(now.Add(regionLoadTTL))), 0)
	assert.Equal(t, len(source.remoteLoadMessages(now.Add(regionLoadTTL))), 0)
}

// TestLoadsNewer checks that an older report does not replace a newer one, and that a
// report expires even if two VMs keep sending it to each other.
func TestLoadsNewer(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := newTestControl("a")
	c.applyRegionLoads(regionLoadMessages("b", 300, 0), now)
	c.applyRegionLoads(regionLoadMessages("b", 900, 500), now)
	assert.Equal(t, c.regionLoads[loadKey{region: "b", service: "s"}].TTFT, 300*time.Millisecond)

	one, two := newTestControl("a"), newTestControl("a")
	one.applyRegionLoads(regionLoadMessages("b", 300, 0), now)
	const latency = 20 * time.Millisecond
	for at := now; at.Before(now.Add(2 * regionLoadTTL)); at = at.Add(gossipInterval) {
		two.applyRegionLoads(one.remoteLoadMessages(at), at.Add(latency))
		one.applyRegionLoads(two.remoteLoadMessages(at.Add(latency)), at.Add(2*latency))
	}
	end := now.Add(regionLoadTTL + newerMargin)
	assert.Equal(t, len(one.regionLoadsByService(end)), 0)
	assert.Equal(t, len(two.regionLoadsByService(end)), 0)
}
