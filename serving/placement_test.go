package serving

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

const (
	homeVMs      = 3
	elsewhere    = "q"
	lifeOfPeers  = 7
	entriesOfRow = 2
)

var placedAt = time.Unix(1e9, 0)

// placementRow is one row of testdata/placement.json. VMs of the home region
// are named by their rank for the workspace.
type placementRow struct {
	Name           string `json:"name"`
	Rank           int    `json:"rank"`
	Elsewhere      bool   `json:"elsewhere"`
	Reaches        []int  `json:"reaches"`
	Bound          bool   `json:"bound"`
	ListsElsewhere bool   `json:"lists_elsewhere"`
	Forwarded      bool   `json:"forwarded"`
	Borrowed       bool   `json:"borrowed"`
	// Ticket is the rank of the ticket's executor.
	Ticket          *int   `json:"ticket"`
	TicketElsewhere bool   `json:"ticket_elsewhere"`
	TicketText      string `json:"ticket_text"`
	Incarnation     uint64 `json:"incarnation"`
	Want            string `json:"want"`
}

func TestPlace(t *testing.T) {
	rows := datatest.Read[[]placementRow](t, "testdata/placement.json")
	for _, row := range rows {
		t.Run(row.Name, func(t *testing.T) { assert.Equal(t, row.place(), row.Want) })
	}
}

func (row placementRow) place() string {
	self := homeRanked()[row.Rank]
	if row.Elsewhere {
		self = placementVM(elsewhere, 0)
	}
	reaches := row.Reaches
	if reaches == nil {
		reaches = []int{0, 1, 2}
	}
	p := Place(PlaceRequest{
		Contract:  placementContract(row.Bound, row.ListsElsewhere),
		Ticket:    row.ticket(),
		Forwarded: row.Forwarded,
		Borrowed:  row.Borrowed,
	}, placementView(self, reaches))
	switch p.Kind {
	case PlaceHere:
		return "here"
	case PlaceRefuse:
		return "refuse " + p.Refusal.Code.String()
	default:
		return fmt.Sprintf("forward rank %d", rankOf(p.VM.ID))
	}
}

func (row placementRow) ticket() string {
	if row.TicketText != "" {
		return row.TicketText
	}
	executor := placementVM(elsewhere, 0).ID
	if row.Ticket != nil {
		executor = homeRanked()[*row.Ticket].ID
	} else if !row.TicketElsewhere {
		return ""
	}
	life := uint64(lifeOfPeers)
	if row.Incarnation != 0 {
		life = row.Incarnation
	}
	return ticket.New(ticket.Options{
		VM:          executor,
		Incarnation: life,
	}).Issue(workspace, placedAt.Add(time.Minute))
}

func placementVM(region string, i int) fleet.VM {
	id := fmt.Sprintf("%s%d", region, i)
	return fleet.VM{
		ID:       id,
		Region:   region,
		PeerAddr: id,
		State:    fleet.StateLive,
	}
}

// homeRanked returns the home region's VMs in the workspace's order.
func homeRanked() []fleet.VM {
	var vms []fleet.VM
	for i := range homeVMs {
		vms = append(vms, placementVM(region, i))
	}
	return entry.Rank(workspace, vms)
}

func rankOf(id string) int {
	for i, vm := range homeRanked() {
		if vm.ID == id {
			return i
		}
	}
	return -1
}

func placementContract(bound, listsElsewhere bool) *contract.Contract {
	c := &contract.Contract{
		Workspace: workspace,
		Home:      region,
		Bound:     bound,
		Regions: []contract.RegionTerms{
			{
				Region:            region,
				RequestsPerSecond: entriesOfRow,
			},
		},
	}
	if listsElsewhere {
		c.Regions = append(c.Regions, contract.RegionTerms{
			Region: elsewhere,
		})
	}
	return c
}

// placementView is the view of a VM that reaches some VMs of the home region, by rank.
func placementView(self fleet.VM, reaches []int) *membership.View {
	s := membership.New(membership.Options{
		Self:        self,
		Incarnation: lifeOfPeers,
	})
	s.SetList(&fleet.List{
		Revision: 1,
		VMs:      append(homeRanked(), placementVM(elsewhere, 0)),
	}, placedAt)
	s.SetReady(true, placedAt)
	for _, rank := range reaches {
		for range 2 {
			s.Heard(membership.Beat{
				VM:          homeRanked()[rank].ID,
				Incarnation: lifeOfPeers,
				Region:      region,
				Ready:       true,
			}, placedAt, placedAt)
		}
	}
	return s.View(placedAt)
}

// hop places a call that came to a VM; it says whether it was forwarded.
type hop func(c *contract.Contract, ticketText string, forwarded bool, view *membership.View) Placement

// hops are the decision, and a deliberately broken one that a receiver makes
// as if the call had come from a caller.
var hops = map[string]hop{
	"decision": func(c *contract.Contract, ticketText string, forwarded bool, view *membership.View) Placement {
		return Place(PlaceRequest{
			Contract:  c,
			Ticket:    ticketText,
			Forwarded: forwarded,
		}, view)
	},
	"forgets_that_it_was_forwarded": func(c *contract.Contract, ticketText string, _ bool, view *membership.View) Placement {
		return Place(PlaceRequest{
			Contract: c,
			Ticket:   ticketText,
		}, view)
	},
}

// TestForwardsUnderDisagreeingViews follows calls through every combination of
// views that three VMs of a region can have of each other, from every VM, with
// each executor's ticket or none, for a bound and an unbound workspace.
func TestForwardsUnderDisagreeingViews(t *testing.T) {
	decision, _ := mostForwards(hops["decision"])
	assert.Equal(t, decision, 1)
	broken, _ := mostForwards(hops["forgets_that_it_was_forwarded"])
	assert.Assert(t, broken > 1, "the check finds no loop in a decision that has one")
	_, left := mostForwards(hops["decision"])
	assert.Equal(t, left, 0, "a bound workspace's call was forwarded out of its region")
}

// mostForwards returns the most forwards of one call, and how many calls of a
// bound workspace left its region.
func mostForwards(place hop) (most, left int) {
	views := allViews()
	starts := append(homeRanked(), placementVM(elsewhere, 0))
	for _, view := range views {
		for _, start := range starts {
			for executor := -1; executor < homeVMs; executor++ {
				for _, bound := range []bool{true, false} {
					n, away := follow(place, view, start, executor, bound)
					most = max(most, n)
					left += away
				}
			}
		}
	}
	return most, left
}

// allViews gives every combination of views by the VM's id. A VM's view is a
// set of bits, one for each other VM of the region that it reaches.
func allViews() []map[string]*membership.View {
	const subsets = 1 << homeVMs
	byVM := make([][]*membership.View, homeVMs)
	for rank, vm := range homeRanked() {
		for set := range subsets {
			byVM[rank] = append(byVM[rank], placementView(vm, members(set, rank)))
		}
	}
	away := placementView(placementVM(elsewhere, 0), []int{0, 1, 2})
	var out []map[string]*membership.View
	for i := range subsets * subsets * subsets {
		out = append(out, map[string]*membership.View{
			homeRanked()[0].ID: byVM[0][i%subsets],
			homeRanked()[1].ID: byVM[1][i/subsets%subsets],
			homeRanked()[2].ID: byVM[2][i/subsets/subsets],
			away.Self.ID:       away,
		})
	}
	return out
}

func members(set, self int) []int {
	var out []int
	for rank := range homeVMs {
		if set&(1<<rank) != 0 && rank != self {
			out = append(out, rank)
		}
	}
	return out
}

// follow carries one call from VM to VM, at most as often as there are VMs.
func follow(place hop, views map[string]*membership.View, at fleet.VM, executor int, bound bool) (forwards, left int) {
	c := placementContract(bound, false)
	text := ""
	if executor >= 0 {
		text = placementRow{Ticket: &executor}.ticket()
	}
	for forwards <= homeVMs {
		p := place(c, text, forwards > 0, views[at.ID])
		if p.Kind != PlaceForward {
			return forwards, left
		}
		if bound && p.VM.Region != c.Home {
			left++
		}
		forwards++
		at = p.VM
	}
	return forwards, left
}
