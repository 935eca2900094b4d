package entry

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestNear selects VMs for many clients of data centre a.
func TestNear(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		// VMs is the number of VMs that accept calls in each data centre.
		VMs  map[string]int
		Most int
		// Each is the number of VMs listed to one client, All the number of distinct VMs
		// listed per data centre, and Clients the maximum number of the 300 clients that
		// use one VM.
		Each    int
		All     map[string]int
		Clients int
	}](t, "testdata/near.json") {
		t.Run(c.Name, func(t *testing.T) {
			list := vmsIn(c.VMs)
			clientsByVM := make(map[string]int)
			for i := range 300 {
				client := fmt.Sprintf("10.0.0.%d", i)
				near := SelectVMs(client, "a", list, c.Most)
				assert.Equal(t, len(near), c.Each)
				assert.DeepEqual(t, SelectVMs(client, "a", list, c.Most), near)
				for _, vm := range near {
					clientsByVM[vm.ID]++
				}
			}
			all := make(map[string]int)
			for _, vm := range list {
				if clientsByVM[vm.ID] > 0 {
					all[vm.DataCentre]++
				}
				assert.Assert(t, clientsByVM[vm.ID] <= c.Clients, "%s is listed to %d clients", vm.ID, clientsByVM[vm.ID])
			}
			assert.DeepEqual(t, all, c.All)
		})
	}
}

// TestNearIsStable checks that the loss of a VM does not change a client's other VMs.
func TestNearIsStable(t *testing.T) {
	list := vmsIn(map[string]int{"a": 100})
	before := SelectVMs("10.0.0.1", "a", list, 64)
	after := SelectVMs("10.0.0.1", "a", slices.DeleteFunc(slices.Clone(list), func(vm fleet.VM) bool { return vm.ID == before[3].ID }), 64)
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
