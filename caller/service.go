package caller

import (
	"net/http"
	"slices"
	"strings"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/target"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

// callPolicy holds the properties of a service call set by the published
// documents.
type callPolicy struct {
	idempotent bool
	priority   call.Priority
}

// handleService serves a call to a plain service.
func (s *Server) handleService(q *request) {
	found, refusal := s.findService(q)
	if refusal != nil {
		s.refuse(q, refusal)
		return
	}
	policy := callPolicyFor(found, q.r.Method, servicePath(q.r))
	placement := s.placeCall(q, policy.idempotent)
	if placement.Kind == serving.PlaceRefuse {
		s.refuse(q, placement.Refusal)
		return
	}
	if !policy.idempotent && q.r.Header.Get(HeaderTicket) == "" {
		s.refuse(q, result.Refuse(result.TicketRequired, "a non-idempotent call needs a ticket; one is enclosed"))
		return
	}
	c, refusal := s.newServiceCall(q, policy)
	if refusal != nil {
		s.refuse(q, refusal)
		return
	}
	s.dispatch(q, c, placement)
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

// callPolicyFor returns the policy of the first published call that matches. A
// call without a match is idempotent only if its method is GET or HEAD.
func callPolicyFor(s *contract.Service, method, path string) callPolicy {
	for _, published := range s.Calls {
		if published.Method == method && strings.HasPrefix(path, published.PathPrefix) {
			return callPolicy{
				idempotent: published.Idempotent,
				priority:   priorityOrDefault(published.Priority),
			}
		}
	}
	return callPolicy{
		idempotent: method == http.MethodGet || method == http.MethodHead,
		priority:   call.PriorityChat,
	}
}

func priorityOrDefault(name string) call.Priority {
	if p, ok := call.ParsePriority(name); ok {
		return p
	}
	return call.PriorityChat
}

// servicePath returns the path and query sent to the endpoint, as the caller sent them.
func servicePath(r *http.Request) string {
	path, _ := target.Of(r)
	for range strings.Count(PathServicesPrefix, "/") {
		_, path, _ = strings.Cut(path, "/")
	}
	_, path, _ = strings.Cut(path, "/")
	return "/" + path
}

func (s *Server) newServiceCall(q *request, policy callPolicy) (*call.Call, *result.Refusal) {
	c, refusal := s.newCall(q, policy.priority)
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
	c.Idempotent = policy.idempotent
	c.FirstTokenDeadline = c.Deadline
	return c, nil
}
