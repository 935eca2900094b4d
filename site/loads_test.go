package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/platform"
)

func loadsOf(region string) *control {
	return &control{
		node: &Node{
			deployment: &platform.Deployment{Region: region},
		},
		loads: make(map[loadKey]regionLoad),
		ways:  make(map[string]time.Duration),
	}
}

func word(region string, firstMS, ageMS uint32) []*peerpb.RegionLoad {
	return []*peerpb.RegionLoad{{
		Service:   "s",
		Region:    region,
		Endpoints: 2,
		FirstMs:   firstMS,
		AgeMs:     ageMS,
	}}
}

// TestLoadsPassedOn holds that one VM's word on another region reaches the next
// one with its age, and that the word of the own region is not taken from others.
func TestLoadsPassedOn(t *testing.T) {
	now := time.Unix(1e9, 0)
	asker, other := loadsOf("a"), loadsOf("a")
	asker.takeLoads(append(word("b", 300, 0), word("a", 7, 0)...), now)
	later := now.Add(time.Second)
	other.takeLoads(asker.loadsMessage(later), later)
	assert.Equal(t, len(other.loads), 1)

	got := other.loadsByService(later)["s"]
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Region, "b")
	assert.Equal(t, got[0].First, 300*time.Millisecond)
	assert.Equal(t, got[0].Way, defaultWay)
	assert.Equal(t, len(other.loadsByService(now.Add(loadGoodFor))), 0)
	assert.Equal(t, len(asker.loadsMessage(now.Add(loadGoodFor))), 0)
}

// TestLoadsNewer holds that an older word does not replace a newer one, and that
// a word which two VMs tell each other over and over ends all the same.
func TestLoadsNewer(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := loadsOf("a")
	c.takeLoads(word("b", 300, 0), now)
	c.takeLoads(word("b", 900, 500), now)
	assert.Equal(t, c.loads[loadKey{region: "b", service: "s"}].First, 300*time.Millisecond)

	one, two := loadsOf("a"), loadsOf("a")
	one.takeLoads(word("b", 300, 0), now)
	const way = 20 * time.Millisecond
	for at := now; at.Before(now.Add(2 * loadGoodFor)); at = at.Add(gossipEvery) {
		two.takeLoads(one.loadsMessage(at), at.Add(way))
		one.takeLoads(two.loadsMessage(at.Add(way)), at.Add(2*way))
	}
	end := now.Add(loadGoodFor + newerBy)
	assert.Equal(t, len(one.loadsByService(end)), 0)
	assert.Equal(t, len(two.loadsByService(end)), 0)
}
