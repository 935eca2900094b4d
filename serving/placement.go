package serving

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

// PlaceKind says where a call is served.
type PlaceKind int

// The places.
const (
	PlaceHere PlaceKind = iota + 1
	PlaceForward
	PlaceRefuse
)

// Terms are a contract with its terms in this region.
type Terms struct {
	Contract *contract.Contract
	Region   contract.RegionTerms
}

// Placement is where a call goes. It is decided from headers alone, before
// any body is read.
type Placement struct {
	Kind PlaceKind
	// VM is where to forward to.
	VM fleet.VM
	// Unreached says that VM did not answer of late. It is asked nevertheless,
	// but not by a VM that stops: waiting for it would hold up the stop.
	Unreached bool
	// Refusal is why the call goes nowhere.
	Refusal *result.Refusal
	Terms   Terms
}

// PlaceRequest is what the decision needs to know of a call.
type PlaceRequest struct {
	Contract  *contract.Contract
	Ticket    string
	Forwarded bool
	// Borrowed is set on a call that another region charged.
	Borrowed bool
}

// Place decides where a call is served. It is a pure function of the view.
func Place(r PlaceRequest, view *membership.View) Placement {
	region := view.Self.Region
	terms, ok := r.Contract.Terms(region)
	if !ok {
		return placeElsewhere(r, view)
	}
	here := Placement{
		Kind: PlaceHere,
		Terms: Terms{
			Contract: r.Contract,
			Region:   terms,
		},
	}
	if r.Forwarded || r.Borrowed {
		return here
	}
	if r.Ticket != "" {
		return placeTicket(r, view, here)
	}
	return placeEntry(r, view, here)
}

// placeElsewhere handles a call in a region that its contract does not name.
func placeElsewhere(r PlaceRequest, view *membership.View) Placement {
	refusal := result.Refuse(result.WrongRegion, "the contract of workspace %s does not allow region %s", r.Contract.Workspace, view.Self.Region)
	if r.Contract.Bound || r.Forwarded {
		return refuse(refusal)
	}
	vms := view.EntriesIn(r.Contract.Home, r.Contract.Workspace)
	if len(vms) == 0 {
		return refuse(refusal)
	}
	return Placement{
		Kind: PlaceForward,
		VM:   vms[0],
	}
}

// placeTicket sends a ticket's call to its executor and nowhere else.
func placeTicket(r PlaceRequest, view *membership.View, here Placement) Placement {
	t, refusal := ticket.Parse(r.Ticket)
	if refusal != nil {
		return refuse(refusal)
	}
	vm, ok := view.Executor(t.VM, t.Incarnation)
	if !ok {
		return refuse(result.Refuse(result.ExecutorGone, "the executor %s of the ticket is gone", t.VM))
	}
	if vm.ID == view.Self.ID {
		return here
	}
	if _, allowed := r.Contract.Terms(vm.Region); !allowed {
		return refuse(result.Refuse(result.TicketInvalid, "the ticket's executor is in a region that the contract does not allow"))
	}
	return Placement{
		Kind:      PlaceForward,
		VM:        vm,
		Unreached: isUnreached(view, vm.ID),
		Terms:     here.Terms,
	}
}

func isUnreached(view *membership.View, id string) bool {
	isIt := func(m membership.Member) bool { return m.VM.ID == id && !m.Reachable }
	return slices.ContainsFunc(view.Region, isIt) || slices.ContainsFunc(view.Others, isIt)
}

// placeEntry keeps a call at an entry VM of its workspace, and sends it to the
// owner from elsewhere.
func placeEntry(r PlaceRequest, view *membership.View, here Placement) Placement {
	vms := view.Entries(r.Contract.Workspace)
	k := entry.Spread(here.Terms.Region, len(vms))
	isSelf := func(vm fleet.VM) bool { return vm.ID == view.Self.ID }
	if len(vms) == 0 || slices.ContainsFunc(vms[:min(k, len(vms))], isSelf) {
		return here
	}
	return Placement{
		Kind:  PlaceForward,
		VM:    vms[0],
		Terms: here.Terms,
	}
}

func refuse(r *result.Refusal) Placement {
	return Placement{
		Kind:    PlaceRefuse,
		Refusal: r,
	}
}
