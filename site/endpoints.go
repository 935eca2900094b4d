package site

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// endpointIndex holds the endpoints that accept calls, in all regions. The control
// goroutine updates it change by change; request goroutines read it.
type endpointIndex struct {
	region string

	mu sync.RWMutex
	// local are those of the own region.
	local  map[string]discovery.AvailableEndpoint
	remote map[string]discovery.AvailableEndpoint
	// counts are those of the own region by service.
	counts map[string]endpointCounts
	// versions counts the endpoints of all regions by service and software version.
	versions map[string]map[string]int
}

// endpointCounts counts the endpoints of one service in the own region.
type endpointCounts struct {
	warm, cold, unreachable int
}

// mostlyUnreachable reports whether more than half of the endpoints are unreachable. The
// cause is then likely on the side of the VMs, so the endpoints stay in use.
func (c endpointCounts) mostlyUnreachable() bool {
	return 2*c.unreachable > c.warm+c.cold
}

func newEndpointIndex(region string) *endpointIndex {
	return &endpointIndex{
		region: region,
		local:  make(map[string]discovery.AvailableEndpoint),
		remote: make(map[string]discovery.AvailableEndpoint),
		counts: make(map[string]endpointCounts),

		versions: make(map[string]map[string]int),
	}
}

// apply applies a change and returns what was known of the endpoint before.
func (x *endpointIndex) apply(c discovery.EndpointChange) (before discovery.AvailableEndpoint, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	before, known = x.find(c.ID)
	if known {
		delete(x.local, c.ID)
		delete(x.remote, c.ID)
		x.count(before, -1)
	}
	if c.Endpoint == nil {
		return before, known
	}
	if c.Endpoint.Region == x.region {
		x.local[c.ID] = *c.Endpoint
	} else {
		x.remote[c.ID] = *c.Endpoint
	}
	x.count(*c.Endpoint, 1)
	return before, known
}

// find must be called with the lock held.
func (x *endpointIndex) find(id string) (discovery.AvailableEndpoint, bool) {
	if e, ok := x.local[id]; ok {
		return e, true
	}
	e, ok := x.remote[id]
	return e, ok
}

func (x *endpointIndex) count(e discovery.AvailableEndpoint, by int) {
	x.countVersion(e, by)
	if e.Region != x.region {
		return
	}
	counts := x.counts[e.Service]
	if e.ColdUntil.IsZero() {
		counts.warm += by
	} else {
		counts.cold += by
	}
	if !e.UnreachableUntil.IsZero() {
		counts.unreachable += by
	}
	if counts == (endpointCounts{}) {
		delete(x.counts, e.Service)
		return
	}
	x.counts[e.Service] = counts
}

func (x *endpointIndex) countVersion(e discovery.AvailableEndpoint, by int) {
	versions := x.versions[e.Service]
	if versions == nil {
		versions = make(map[string]int)
		x.versions[e.Service] = versions
	}
	versions[e.SoftwareVersion] += by
	if versions[e.SoftwareVersion] == 0 {
		delete(versions, e.SoftwareVersion)
	}
	if len(versions) == 0 {
		delete(x.versions, e.Service)
	}
}

// softwareVersions returns the sorted versions of a service's endpoints.
func (x *endpointIndex) softwareVersions(service string) []string {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return slices.Sorted(maps.Keys(x.versions[service]))
}

// regionServes reports whether another region has an endpoint of a service that a pin allows.
func (x *endpointIndex) regionServes(region, service string, pin fleet.VersionPin) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, e := range x.remote {
		if e.Region == region && e.Service == service && pin.Allows(e.Endpoint) {
			return true
		}
	}
	return false
}

// lifeOf returns the incarnation of an endpoint by its entry; zero if it is not known.
func (x *endpointIndex) lifeOf(id string) int64 {
	x.mu.RLock()
	defer x.mu.RUnlock()
	e, _ := x.find(id)
	return e.Incarnation
}

// contains reports whether an incarnation of an endpoint accepts calls.
func (x *endpointIndex) contains(id string, incarnation int64) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	e, ok := x.find(id)
	return ok && e.Incarnation == incarnation
}

// has reports whether any incarnation of an endpoint accepts calls.
func (x *endpointIndex) has(id string) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	_, ok := x.find(id)
	return ok
}

// serviceCounts returns a copy of the counts by service.
func (x *endpointIndex) serviceCounts() map[string]endpointCounts {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return maps.Clone(x.counts)
}

// anyCold reports whether an endpoint of the own region is cold.
func (x *endpointIndex) anyCold() bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, counts := range x.counts {
		if counts.cold > 0 {
			return true
		}
	}
	return false
}

// localEndpoints returns the endpoints of the own region that include selects, sorted by
// ID.
func (x *endpointIndex) localEndpoints(include func(discovery.AvailableEndpoint) bool) []fleet.Endpoint {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []fleet.Endpoint
	for _, e := range x.local {
		if include(e) {
			out = append(out, e.Endpoint)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ofService returns the endpoints of a service in all regions.
func (x *endpointIndex) ofService(service string) []discovery.AvailableEndpoint {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []discovery.AvailableEndpoint
	for _, byID := range []map[string]discovery.AvailableEndpoint{x.local, x.remote} {
		for _, e := range byID {
			if e.Service == service {
				out = append(out, e)
			}
		}
	}
	return out
}

// logCounts logs the services of the region whose counts changed.
func (p *pools) logCounts(before, after map[string]endpointCounts) {
	for service, counts := range after {
		if previous := before[service]; previous.warm != counts.warm || previous.cold != counts.cold {
			p.node.log.Info("endpoints_changed", "service", service, "warm", counts.warm, "cold", counts.cold)
		}
	}
	for service := range before {
		if _, left := after[service]; !left {
			p.node.log.Warn("endpoints_changed", "service", service, "warm", 0, "cold", 0)
		}
	}
}
