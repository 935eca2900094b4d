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

// PlaceKind is the decision on where a call is served.
type PlaceKind int

// The kinds of placement.
const (
	PlaceHere PlaceKind = iota + 1
	PlaceForward
	PlaceRefuse
)

// Terms is a contract with its terms in this region.
type Terms struct {
	Contract *contract.Contract
	Region   contract.RegionLimits
}

// Placement is the decision on where a call is served. It depends on headers only, so
// that it is made before the body is read.
type Placement struct {
	Kind PlaceKind
	// VM is the VM to forward to.
	VM fleet.VM
	// Unreachable is set when VM did not respond recently. It is still tried, except by a
	// draining VM, where the timeout would delay the shutdown.
	Unreachable bool
	// Refusal is set on PlaceRefuse.
	Refusal *result.Refusal
	Terms   Terms
}

// PlaceRequest is the input of Place.
type PlaceRequest struct {
	Contract  *contract.Contract
	Ticket    string
	Forwarded bool
	// Borrowed is set on a call that another region forwarded and charged.
	Borrowed bool
}

// Place decides where a call is served. It is a pure function of its arguments.
func Place(r PlaceRequest, view *membership.View) Placement {
	region := view.Self.Region
	terms, ok := r.Contract.LimitsIn(region)
	if !ok {
		return placeOutsideContract(r, view)
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

// placeOutsideContract places a call that arrived in a region outside its contract:
// it is forwarded to the home region, unless the workspace is bound to its regions or
// the call was forwarded before.
func placeOutsideContract(r PlaceRequest, view *membership.View) Placement {
	refusal := result.Refuse(result.WrongRegion, "the contract of workspace %s does not allow region %s", r.Contract.Workspace, view.Self.Region)
	if r.Contract.HomeOnly || r.Forwarded {
		return refusedPlacement(refusal)
	}
	vms := view.VMsByRank(r.Contract.Home, r.Contract.Workspace)
	if len(vms) == 0 {
		return refusedPlacement(refusal)
	}
	return Placement{
		Kind: PlaceForward,
		VM:   vms[0],
	}
}

// placeTicket places a call with a ticket on the ticket's executor only.
func placeTicket(r PlaceRequest, view *membership.View, here Placement) Placement {
	t, refusal := ticket.Parse(r.Ticket)
	if refusal != nil {
		return refusedPlacement(refusal)
	}
	vm, ok := view.TicketExecutor(t.VM, t.Incarnation)
	if !ok {
		return refusedPlacement(result.Refuse(result.ExecutorGone, "the executor %s of the ticket is gone", t.VM))
	}
	if vm.ID == view.Self.ID {
		return here
	}
	if _, allowed := r.Contract.LimitsIn(vm.Region); !allowed {
		return refusedPlacement(result.Refuse(result.TicketInvalid, "the ticket's executor is in a region that the contract does not allow"))
	}
	return Placement{
		Kind:        PlaceForward,
		VM:          vm,
		Unreachable: isUnreachable(view, vm.ID),
		Terms:       here.Terms,
	}
}

func isUnreachable(view *membership.View, id string) bool {
	matches := func(m membership.Member) bool { return m.VM.ID == id && !m.Reachable }
	return slices.ContainsFunc(view.Region, matches) || slices.ContainsFunc(view.Others, matches)
}

// placeEntry serves the call here if this VM is one of the workspace's entry VMs, and
// forwards it to the owner otherwise.
func placeEntry(r PlaceRequest, view *membership.View, here Placement) Placement {
	vms := view.OwnersByRank(r.Contract.Workspace)
	entryCount := entry.VMCount(here.Terms.Region, len(vms))
	isSelf := func(vm fleet.VM) bool { return vm.ID == view.Self.ID }
	if len(vms) == 0 || slices.ContainsFunc(vms[:min(entryCount, len(vms))], isSelf) {
		return here
	}
	return Placement{
		Kind:  PlaceForward,
		VM:    vms[0],
		Terms: here.Terms,
	}
}

func refusedPlacement(r *result.Refusal) Placement {
	return Placement{
		Kind:    PlaceRefuse,
		Refusal: r,
	}
}
