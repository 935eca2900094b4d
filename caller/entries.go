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

// EntriesBody answers which VMs a caller should use.
type EntriesBody struct {
	Workspace    string    `json:"workspace"`
	ViewRevision uint64    `json:"view_revision"`
	GoodUntil    time.Time `json:"good_until"`
	Entries      []Entry   `json:"entries"`
}

// TicketBody answers with a ticket and the VMs to use, its executor first.
type TicketBody struct {
	Ticket    string    `json:"ticket"`
	GoodUntil time.Time `json:"good_until"`
	Entries   []Entry   `json:"entries"`
}

// entries answers which VMs serve the caller's workspace.
func (s *Server) entries(q *request) {
	view := s.options.View()
	vms := s.entriesFor(q.contract, view)
	if len(vms) == 0 {
		s.refuse(q, result.Refuse(result.NoEndpoint, "no VM of an allowed region is known"))
		return
	}
	setResult(q.w.Header(), result.Done)
	writeJSON(q.w, http.StatusOK, EntriesBody{
		Workspace:    q.contract.Workspace,
		ViewRevision: view.Revision,
		GoodUntil:    s.options.Now().Add(s.options.Bounds.EntriesGoodFor),
		Entries:      entriesOf(vms),
	})
}

// tickets issues a ticket that this VM executes.
func (s *Server) tickets(q *request) {
	view := s.options.View()
	if _, ok := q.contract.Terms(view.Self.Region); !ok {
		s.refuse(q, result.Refuse(result.WrongRegion, "the contract of workspace %s does not allow region %s", q.contract.Workspace, view.Self.Region))
		return
	}
	if s.options.Stopping() {
		s.refuse(q, result.Refuse(result.Stopping, "VM %s is stopping", s.options.VM))
		return
	}
	goodUntil := s.options.Now().Add(s.options.Bounds.TicketGoodFor)
	setResult(q.w.Header(), result.Done)
	writeJSON(q.w, http.StatusOK, TicketBody{
		Ticket:    s.options.IssueTicket(q.contract.Workspace, goodUntil),
		GoodUntil: goodUntil,
		Entries:   entriesOf(selfFirst(view.Self, s.entriesFor(q.contract, view))),
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

// entriesFor lists the entry VMs of a workspace, in this region if the
// contract allows it, else in the workspace's home.
func (s *Server) entriesFor(c *contract.Contract, view *membership.View) []fleet.VM {
	terms, ok := c.Terms(view.Self.Region)
	if ok {
		vms := view.Entries(c.Workspace)
		return entry.Order(c.Workspace, vms, entry.Spread(terms, len(vms)), s.nonce())
	}
	terms, _ = c.Terms(c.Home)
	vms := view.EntriesIn(c.Home, c.Workspace)
	return entry.Order(c.Workspace, vms, entry.Spread(terms, len(vms)), s.nonce())
}

// nonce rotates the answers about hot workspaces.
func (s *Server) nonce() uint64 {
	return xxhash.Sum64String(s.options.NewID())
}
