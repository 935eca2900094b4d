package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

var start = time.Unix(1e9, 0)

// TestRegister checks that a record holds until its time, that the first one stays, and that
// records are bounded.
func TestRegister(t *testing.T) {
	r := NewRegister()
	add := func(request, version string, keep time.Duration) {
		r.Add(Origin{Request: request, Service: "s", Version: version, KeepUntil: start.Add(keep)}, start)
	}
	add("a", "v1", time.Second)
	add("a", "v2", 2*time.Second)
	o, ok := r.Find("a", start.Add(1500*time.Millisecond))
	assert.Assert(t, ok)
	assert.Equal(t, o.Version, "v1")
	_, ok = r.Find("a", start.Add(2*time.Second))
	assert.Assert(t, !ok)
	for i := range maxRecords + 10 {
		add(fmt.Sprintf("b%d", i), "v1", time.Minute)
	}
	records, dropped := r.Stats()
	assert.Equal(t, records, maxRecords)
	assert.Assert(t, dropped > 0)
	r.Add(Origin{Request: "c", KeepUntil: start.Add(time.Hour)}, start.Add(2*time.Minute))
	records, _ = r.Stats()
	assert.Equal(t, records, 1)
}

// censusStep is one event that a VM sees of a service, some seconds after the start.
type censusStep struct {
	At       float64
	Versions []string
	// Restart is set after a time in which changes may have gone unseen.
	Restart bool
}

// TestSole guards against taking the only version that is published now for that of a stream
// which another one began.
func TestSole(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name  string
		Steps []censusStep
		At    float64
		Known bool
		Want  string
	}](t, "testdata/sole.json") {
		t.Run(c.Name, func(t *testing.T) {
			r := NewRegister()
			at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
			for _, step := range c.Steps {
				if step.Restart {
					r.Restart(at(step.At))
					continue
				}
				r.Observe("s", step.Versions, at(step.At))
			}
			version, ok := r.Sole("s", at(c.At).Add(-10*time.Second))
			assert.Equal(t, ok, c.Known)
			assert.Equal(t, version, c.Want)
		})
	}
}

// TestLossOfVMs checks that a record is found by any VM that is left, after the loss of the
// VM that made it, of its region, or of the first keeper, and after starts of new VMs.
func TestLossOfVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(2, 12).Draw(t, "regions")
		f := Fleet{
			Regions: make(map[string][]fleet.VM),
		}
		var all []fleet.VM
		for r := range regions {
			region := fmt.Sprintf("r%d", r)
			for i := range rapid.IntRange(1, 30).Draw(t, "vms") {
				vm := fleet.VM{
					ID:     fmt.Sprintf("%s-%d", region, i),
					Region: region,
				}
				all = append(all, vm)
				f.Regions[region] = append(f.Regions[region], vm)
			}
		}
		maker := all[rapid.IntRange(0, len(all)-1).Draw(t, "maker")]
		request := rapid.StringMatching("[0-9a-f]{16}").Draw(t, "request")
		holds := map[string]bool{
			maker.ID: true,
		}
		for _, vm := range Keepers(request, f.seenBy(maker)) {
			holds[vm.ID] = true
		}
		lost := rapid.SampledFrom([]string{"maker", "region"}).Draw(t, "lost")
		for region, vms := range f.Regions {
			var left []fleet.VM
			for _, vm := range vms {
				if vm.ID != maker.ID && (lost == "maker" || region != maker.Region) {
					left = append(left, vm)
				}
			}
			f.Regions[region] = left
			if len(left) == 0 {
				delete(f.Regions, region)
			}
		}
		for _, vms := range f.Regions {
			for _, asker := range vms {
				found := holds[asker.ID]
				for _, vm := range Asked(request, f.seenBy(asker)) {
					found = found || holds[vm.ID]
				}
				assert.Assert(t, found, "%s does not find what %s began", asker.ID, maker.ID)
			}
		}
	})
}

func (f Fleet) seenBy(vm fleet.VM) Fleet {
	f.Self = vm
	return f
}
