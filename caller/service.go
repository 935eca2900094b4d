package caller

import (
	"net/http"
	"slices"
	"strings"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

// treatment is how the published documents let a service call be treated.
type treatment struct {
	idempotent bool
	priority   call.Priority
}

// service serves a call to a plain service.
func (s *Server) service(q *request) {
	found, refusal := s.findService(q)
	if refusal != nil {
		s.refuse(q, refusal)
		return
	}
	t := treatmentOf(found, q.r.Method, servicePath(q.r))
	place := s.place(q, t.idempotent)
	if place.Kind == serving.PlaceRefuse {
		s.refuse(q, place.Refusal)
		return
	}
	if !t.idempotent && q.r.Header.Get(HeaderTicket) == "" {
		s.refuse(q, result.Refuse(result.TicketRequired, "a non-idempotent call needs a ticket; one is enclosed"))
		return
	}
	c, refusal := s.serviceCall(q, t)
	if refusal != nil {
		s.refuse(q, refusal)
		return
	}
	s.serve(q, c, place)
}

func (s *Server) findService(q *request) (*contract.Service, *result.Refusal) {
	name := q.r.PathValue("service")
	found, ok := s.options.Snapshot().Service(name)
	if !ok {
		return nil, result.Refuse(result.UnknownTarget, "no service %q", name)
	}
	if !slices.Contains(q.contract.Services, name) {
		return nil, result.Refuse(result.NotInContract, "the contract does not allow service %q", name)
	}
	return found, nil
}

// treatmentOf finds the first published call that matches. An unmatched call
// is idempotent only if its method is safe.
func treatmentOf(s *contract.Service, method, path string) treatment {
	for _, sc := range s.Calls {
		if sc.Method == method && strings.HasPrefix(path, sc.PathPrefix) {
			return treatment{
				idempotent: sc.Idempotent,
				priority:   priorityOf(sc.Priority),
			}
		}
	}
	return treatment{
		idempotent: method == http.MethodGet || method == http.MethodHead,
		priority:   call.PriorityChat,
	}
}

func priorityOf(name string) call.Priority {
	if p, ok := call.ParsePriority(name); ok {
		return p
	}
	return call.PriorityChat
}

// servicePath is the path and query that the endpoint is sent.
func servicePath(r *http.Request) string {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

func (s *Server) serviceCall(q *request, t treatment) (*call.Call, *result.Refusal) {
	c, refusal := s.newCall(q, t.priority)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := s.readBody(q)
	if refusal != nil {
		return nil, refusal
	}
	c.Kind = call.KindService
	c.Service = q.r.PathValue("service")
	c.Path = servicePath(q.r)
	c.Body = body
	c.Idempotent = t.idempotent
	c.FirstBy = c.WholeBy
	return c, nil
}
