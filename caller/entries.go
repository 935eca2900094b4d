package caller

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// EntriesResponse lists the VMs that a caller should use.
type EntriesResponse struct {
	Workspace    string    `json:"workspace"`
	ViewRevision uint64    `json:"view_revision"`
	ExpiresAt    time.Time `json:"good_until"`
	Entries      []Entry   `json:"entries"`
}

// TicketResponse holds a ticket and the VMs to use, the ticket's executor first.
type TicketResponse struct {
	Ticket    string    `json:"ticket"`
	ExpiresAt time.Time `json:"good_until"`
	Entries   []Entry   `json:"entries"`
}

// handleEntries lists the entry VMs of the caller's workspace.
func (s *Server) handleEntries(q *request) {
	view := s.options.View()
	vms := s.entriesFor(q.contract, view)
	if len(vms) == 0 {
		s.refuse(q, result.Refuse(result.NoEndpoint, "no VM of an allowed region is known"))
		return
	}
	setResult(q.w.Header(), result.Done)
	writeJSON(q.w, http.StatusOK, EntriesResponse{
		Workspace:    q.contract.Workspace,
		ViewRevision: view.Revision,
		ExpiresAt:    s.options.Now().Add(s.options.Limits.EntriesTTL),
		Entries:      newEntries(vms),
	})
}

// handleTickets issues a ticket whose executor is this VM.
func (s *Server) handleTickets(q *request) {
	view := s.options.View()
	if _, ok := q.contract.LimitsIn(view.Self.Region); !ok {
		s.refuse(q, result.Refuse(result.WrongRegion, "the contract of workspace %s does not allow region %s", q.contract.Workspace, view.Self.Region))
		return
	}
	if s.options.Stopping() {
		s.refuse(q, result.Refuse(result.Stopping, "VM %s is stopping", s.options.VM))
		return
	}
	expiresAt := s.options.Now().Add(s.options.Limits.TicketTTL)
	setResult(q.w.Header(), result.Done)
	writeJSON(q.w, http.StatusOK, TicketResponse{
		Ticket:    s.options.IssueTicket(q.contract.Workspace, expiresAt),
		ExpiresAt: expiresAt,
		Entries:   newEntries(selfFirst(view.Self, s.entriesFor(q.contract, view))),
	})
}

func selfFirst(self fleet.VM, vms []fleet.VM) []fleet.VM {
	out := []fleet.VM{self}
	for _, vm := range vms {
		if vm.ID != self.ID {
			out = append(out, vm)
		}
	}
	return out
}

// entriesFor returns the entry VMs of a workspace, in this region if the
// contract allows it, otherwise in the workspace's home region.
func (s *Server) entriesFor(c *contract.Contract, view *membership.View) []fleet.VM {
	terms, ok := c.LimitsIn(view.Self.Region)
	if ok {
		vms := view.OwnersByRank(c.Workspace)
		return entry.Order(c.Workspace, vms, entry.VMCount(terms, len(vms)), s.rotationSeed())
	}
	terms, _ = c.LimitsIn(c.Home)
	vms := view.VMsByRank(c.Home, c.Workspace)
	return entry.Order(c.Workspace, vms, entry.VMCount(terms, len(vms)), s.rotationSeed())
}

// rotationSeed returns a new seed for each response, so that the callers of a
// busy workspace get the VMs in different orders.
func (s *Server) rotationSeed() uint64 {
	return xxhash.Sum64String(s.options.NewID())
}
