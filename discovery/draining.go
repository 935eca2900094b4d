package discovery

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Draining returns the sorted IDs of a service's listed endpoints of a region that accept no new
// calls: as their entries or they themselves say, or as their data centre is evacuated.
func (s *State) Draining(service, region string) []string {
	var out []string
	for id, k := range s.endpoints {
		if k.Service == service && k.Region == region && !s.acceptsCalls(k) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Listed returns a service's endpoints that have an entry, in no particular order. Those that
// accept no new calls are among them.
func (s *State) Listed(service string) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, k := range s.endpoints {
		if k.Service == service {
			out = append(out, k.Endpoint)
		}
	}
	return out
}

// Services returns the sorted names of the services that have endpoints.
func (s *State) Services() []string {
	var out []string
	for _, k := range s.endpoints {
		if !slices.Contains(out, k.Service) {
			out = append(out, k.Service)
		}
	}
	slices.Sort(out)
	return out
}
