package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// rightsCase is a case of testdata/rights.json: what VM a knows, and which VM it asks
// to execute a ticket of VM b's first incarnation.
type rightsCase struct {
	Name string `json:"name"`
	// Beats are the beats received, in order.
	Beats []rightsBeat `json:"beats"`
	// Rights names the VMs passed to SetAdoptedRights.
	Rights []string `json:"rights"`
	// Want is the VM to ask. Empty means none.
	Want string `json:"want"`
}

type rightsBeat struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Adopted     bool   `json:"adopted"`
}

func TestExecutor(t *testing.T) {
	cases := datatest.Read[[]rightsCase](t, "testdata/rights.json")
	for _, c := range cases {
		t.Run(c.Name, c.test)
	}
}

func (c rightsCase) test(t *testing.T) {
	now := time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)
	rights := []Adoption{
		{
			VM:          "b",
			Incarnation: 1,
			Until:       now.Add(time.Minute),
		},
	}
	list := &fleet.List{
		Revision: 1,
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		list.VMs = append(list.VMs, fleet.VM{
			ID:     id,
			Region: "r",
			State:  fleet.StateLive,
		})
	}
	s := New(Options{
		Self:        list.VMs[0],
		Incarnation: 1,
	})
	s.SetList(list, now)
	for _, said := range c.Beats {
		b := Beat{
			VM:          said.VM,
			Incarnation: said.Incarnation,
			Region:      "r",
			Ready:       true,
			Leaving:     said.Leaving,
		}
		if said.Adopted {
			b.Adopted = rights
		}
		s.HandleBeat(b, now, now)
	}
	for _, vm := range c.Rights {
		s.SetAdoptedRights(vm, rights)
	}
	vm, ok := s.View(now).TicketExecutor("b", 1)
	assert.Equal(t, vm.ID, c.Want)
	assert.Equal(t, ok, c.Want != "")
}
