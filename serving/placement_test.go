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
	homeVMs               = 3
	otherRegion           = "q"
	peerIncarnation       = 7
	homeRequestsPerSecond = 2
)

var testTime = time.Unix(1e9, 0)

// placementRow is one row of testdata/placement.json. VMs of the home region are
// identified by their rank for the workspace.
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
	self := rankedHomeVMs()[row.Rank]
	if row.Elsewhere {
		self = placementVM(otherRegion, 0)
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
	executor := placementVM(otherRegion, 0).ID
	if row.Ticket != nil {
		executor = rankedHomeVMs()[*row.Ticket].ID
	} else if !row.TicketElsewhere {
		return ""
	}
	incarnation := uint64(peerIncarnation)
	if row.Incarnation != 0 {
		incarnation = row.Incarnation
	}
	return ticket.New(ticket.Options{
		VM:          executor,
		Incarnation: incarnation,
	}).Issue(workspace, testTime.Add(time.Minute))
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

// rankedHomeVMs returns the home region's VMs by rank for the workspace.
func rankedHomeVMs() []fleet.VM {
	var vms []fleet.VM
	for i := range homeVMs {
		vms = append(vms, placementVM(region, i))
	}
	return entry.Rank(workspace, vms)
}

func rankOf(id string) int {
	for i, vm := range rankedHomeVMs() {
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
		HomeOnly:  bound,
		Regions: []contract.RegionLimits{
			{
				Region:            region,
				RequestsPerSecond: homeRequestsPerSecond,
			},
		},
	}
	if listsElsewhere {
		c.Regions = append(c.Regions, contract.RegionLimits{
			Region: otherRegion,
		})
	}
	return c
}

// placementView builds the view of a VM that reaches the home VMs of the given ranks.
func placementView(self fleet.VM, reaches []int) *membership.View {
	s := membership.New(membership.Options{
		Self:        self,
		Incarnation: peerIncarnation,
	})
	s.SetList(&fleet.List{
		Revision: 1,
		VMs:      append(rankedHomeVMs(), placementVM(otherRegion, 0)),
	}, testTime)
	s.SetReady(true, testTime)
	for _, rank := range reaches {
		for range 2 {
			s.HandleBeat(membership.Beat{
				VM:          rankedHomeVMs()[rank].ID,
				Incarnation: peerIncarnation,
				Region:      region,
				Ready:       true,
			}, testTime, testTime)
		}
	}
	return s.View(testTime)
}

// placeFunc places a call on the VM that has the view.
type placeFunc func(c *contract.Contract, ticketText string, forwarded bool, view *membership.View) Placement

// placeFuncs holds the real decision and a faulty one that ignores whether a call was
// forwarded.
var placeFuncs = map[string]placeFunc{
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

// TestForwardsUnderDisagreeingViews checks every combination of views in a region of
// three VMs for forwarding loops, and for calls of a bound workspace that leave the
// region.
func TestForwardsUnderDisagreeingViews(t *testing.T) {
	decision, _ := countForwards(placeFuncs["decision"])
	assert.Equal(t, decision, 1)
	broken, _ := countForwards(placeFuncs["forgets_that_it_was_forwarded"])
	assert.Assert(t, broken > 1, "the check finds no loop in a decision that has one")
	_, left := countForwards(placeFuncs["decision"])
	assert.Equal(t, left, 0, "a bound workspace's call was forwarded out of its region")
}

// countForwards returns the maximum forwards of one call, and the number of forwards of
// a bound workspace's calls out of its region.
func countForwards(place placeFunc) (most, left int) {
	views := allViews()
	starts := append(rankedHomeVMs(), placementVM(otherRegion, 0))
	for _, view := range views {
		for _, start := range starts {
			for executor := -1; executor < homeVMs; executor++ {
				for _, bound := range []bool{true, false} {
					n, departures := followCall(place, view, start, executor, bound)
					most = max(most, n)
					left += departures
				}
			}
		}
	}
	return most, left
}

// allViews returns every combination of views, keyed by VM id. A view is a bit set of
// the home VMs that are reached.
func allViews() []map[string]*membership.View {
	const subsets = 1 << homeVMs
	byVM := make([][]*membership.View, homeVMs)
	for rank, vm := range rankedHomeVMs() {
		for set := range subsets {
			byVM[rank] = append(byVM[rank], placementView(vm, reachedRanks(set, rank)))
		}
	}
	outsideView := placementView(placementVM(otherRegion, 0), []int{0, 1, 2})
	var out []map[string]*membership.View
	for i := range subsets * subsets * subsets {
		out = append(out, map[string]*membership.View{
			rankedHomeVMs()[0].ID: byVM[0][i%subsets],
			rankedHomeVMs()[1].ID: byVM[1][i/subsets%subsets],
			rankedHomeVMs()[2].ID: byVM[2][i/subsets/subsets],
			outsideView.Self.ID:   outsideView,
		})
	}
	return out
}

func reachedRanks(set, self int) []int {
	var out []int
	for rank := range homeVMs {
		if set&(1<<rank) != 0 && rank != self {
			out = append(out, rank)
		}
	}
	return out
}

// followCall places one call on VM after VM until it is no longer forwarded, at most
// once per VM.
func followCall(place placeFunc, views map[string]*membership.View, at fleet.VM, executor int, bound bool) (forwards, left int) {
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
