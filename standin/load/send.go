package load

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/caller"
)

// newSenders returns a send function for each region.
func (r *Run) newSenders() []sendFunc {
	var out []sendFunc
	for i := range r.options.Targets.Regions {
		if r.options.Direct {
			out = append(out, r.newDirectSender().send)
			continue
		}
		out = append(out, r.newRegionSender(&r.options.Targets.Regions[i]).send)
	}
	return out
}

// regionSender sends a region's calls through one caller per workspace.
type regionSender struct {
	targets *Targets
	callers []*caller.Caller
}

func (r *Run) newRegionSender(region *Region) *regionSender {
	s := &regionSender{
		targets: &r.options.Targets,
	}
	for _, w := range region.Workspaces {
		s.callers = append(s.callers, caller.New(caller.Options{
			VMs:      region.VMs,
			Direct:   region.FixedOrder,
			Key:      w.Key,
			Client:   r.options.Client,
			MaxTries: r.options.MaxTries,
		}))
	}
	return s
}

func (s *regionSender) send(ctx context.Context, a *Arrival, due time.Time) caller.Result {
	c := s.callers[a.Workspace]
	options := caller.CallOptions{
		Deadline: due.Add(a.Kind.Within),
		Priority: a.Kind.Priority.String(),
	}
	if !a.Kind.Service {
		return c.Chat(ctx, a.newChat(s.targets, options))
	}
	return c.Service(ctx, a.newService(s.targets, options))
}

func (a *Arrival) newChat(t *Targets, options caller.CallOptions) caller.Chat {
	return caller.Chat{
		Model:       t.Model,
		System:      a.systemPrompt(),
		Message:     a.userMessage(),
		MaxTokens:   a.MaxTokens,
		Stream:      true,
		CallOptions: options,
	}
}

func (a *Arrival) newService(t *Targets, options caller.CallOptions) caller.Service {
	s := caller.Service{
		Service:     t.Service,
		Method:      a.Kind.Method,
		Path:        a.servicePath(),
		WithTicket:  a.Kind.Ticket,
		CallOptions: options,
	}
	if a.Kind.Method != http.MethodGet {
		s.Body = []byte(`{"operation":"` + a.Marker + `"}`)
		s.IdempotencyKey = a.Marker
	}
	return s
}
