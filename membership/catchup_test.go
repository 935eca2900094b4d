package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// catchUpRow is a row of testdata/catchup.json. The VM under test has documents up to
// revision 5 and list revision 3.
type catchUpRow struct {
	Name      string               `json:"name"`
	Unlisted  bool                 `json:"unlisted"`
	Region    map[string]catchUpVM `json:"region"`
	Others    map[string]catchUpVM `json:"others"`
	AfterHold bool                 `json:"after_hold"`
	Want      bool                 `json:"want"`
}

type catchUpVM struct {
	Answers   bool   `json:"answers"`
	Ready     bool   `json:"ready"`
	Missed    int    `json:"missed"`
	Documents uint64 `json:"documents"`
	List      uint64 `json:"list"`
}

func TestCaughtUp(t *testing.T) {
	rows := datatest.Read[[]catchUpRow](t, "testdata/catchup.json")
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) {
			s := newState(parseVM("a"))
			now := origin
			if !row.Unlisted {
				s.SetList(row.list(), now)
			}
			for _, group := range []map[string]catchUpVM{row.Region, row.Others} {
				for id, p := range group {
					p.apply(s, id, now)
				}
			}
			if row.AfterHold {
				now = s.grantFrom
			}
			got := s.CaughtUp(Revisions{
				DocumentsRevision: 5,
				ListRevision:      3,
			}, now)
			assert.Equal(t, got, row.Want)
		})
	}
}

func (row catchUpRow) list() *fleet.List {
	list := &fleet.List{
		Revision: 3,
		VMs:      []fleet.VM{parseVM("a")},
	}
	for id := range row.Region {
		list.VMs = append(list.VMs, parseVM(id))
	}
	for id := range row.Others {
		other := parseVM(id)
		other.Region = "elsewhere"
		list.VMs = append(list.VMs, other)
	}
	return list
}

func (p catchUpVM) apply(s *State, id string, now time.Time) {
	for i := range p.Missed {
		s.RecordMiss(id, now.Add(time.Duration(i)*s.heartbeatInterval))
	}
	if !p.Answers {
		return
	}
	s.HandleBeat(Beat{
		VM:                id,
		Incarnation:       7,
		Ready:             p.Ready,
		DocumentsRevision: p.Documents,
		ListRevision:      p.List,
	}, now, now)
}
