package entry

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestNear asks for many clients of data centre a.
func TestNear(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		// VMs is how many take calls by data centre.
		VMs  map[string]int
		Most int
		// Each is how many VMs one client is told of, All how many of each data centre
		// are told to any, and Clients the most that are told of one VM, of 300.
		Each    int
		All     map[string]int
		Clients int
	}](t, "testdata/near.json") {
		t.Run(c.Name, func(t *testing.T) {
			list := vmsIn(c.VMs)
			told := make(map[string]int)
			for i := range 300 {
				client := fmt.Sprintf("10.0.0.%d", i)
				near := Near(client, "a", list, c.Most)
				assert.Equal(t, len(near), c.Each)
				assert.DeepEqual(t, Near(client, "a", list, c.Most), near)
				for _, vm := range near {
					told[vm.ID]++
				}
			}
			all := make(map[string]int)
			for _, vm := range list {
				if told[vm.ID] > 0 {
					all[vm.DataCentre]++
				}
				assert.Assert(t, told[vm.ID] <= c.Clients, "%s is told to %d", vm.ID, told[vm.ID])
			}
			assert.DeepEqual(t, all, c.All)
		})
	}
}

// TestNearStays holds that the loss of a VM takes a client away from no other.
func TestNearStays(t *testing.T) {
	list := vmsIn(map[string]int{"a": 100})
	before := Near("10.0.0.1", "a", list, 64)
	after := Near("10.0.0.1", "a", slices.DeleteFunc(slices.Clone(list), func(vm fleet.VM) bool { return vm.ID == before[3].ID }), 64)
	for _, vm := range before {
		if vm.ID != before[3].ID {
			assert.Assert(t, slices.Contains(after, vm), vm.ID)
		}
	}
}

func vmsIn(counts map[string]int) []fleet.VM {
	var list []fleet.VM
	for _, dataCentre := range []string{"a", "b"} {
		for i := range counts[dataCentre] {
			list = append(list, fleet.VM{
				ID:         fmt.Sprintf("vm-%s-%d", dataCentre, i),
				DataCentre: dataCentre,
			})
		}
	}
	return list
}
