package site

import (
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// poolUpdates collects the changes of the pools of a region.
type poolUpdates struct {
	region    string
	byService map[string]*poolUpdate
}

// poolUpdate is the change of one pool. Removals come first.
type poolUpdate struct {
	local, remote               []fleet.Endpoint
	localRemoved, remoteRemoved []string
}

func newPoolUpdates(region string) *poolUpdates {
	return &poolUpdates{
		region:    region,
		byService: make(map[string]*poolUpdate),
	}
}

func (u *poolUpdates) of(service string) *poolUpdate {
	if u.byService[service] == nil {
		u.byService[service] = &poolUpdate{}
	}
	return u.byService[service]
}

// replace removes an endpoint unless it stays in the same pool, which then retains its
// statistics.
func (u *poolUpdates) replace(before discovery.AvailableEndpoint, after *discovery.AvailableEndpoint) {
	stays := after != nil && after.Service == before.Service && after.Region == before.Region
	if stays && after.Region == u.region {
		stays = after.ColdUntil.IsZero()
	}
	if !stays {
		u.remove(before)
	}
}

func (u *poolUpdates) remove(e discovery.AvailableEndpoint) {
	update := u.of(e.Service)
	if e.Region == u.region {
		update.localRemoved = append(update.localRemoved, e.ID)
	} else {
		update.remoteRemoved = append(update.remoteRemoved, e.ID)
	}
}

// put adds or changes an endpoint. A cold one of the own region is in no pool. An
// unreachable one gets no calls, but its pool retains its statistics.
func (u *poolUpdates) put(e discovery.AvailableEndpoint, counts endpointCounts) {
	update := u.of(e.Service)
	endpoint := e.Endpoint
	switch {
	case e.Region != u.region:
		update.remote = append(update.remote, endpoint)
	case !e.ColdUntil.IsZero():
	case !e.UnreachableUntil.IsZero() && !counts.mostlyUnreachable():
		endpoint.State = fleet.StateLeaving
		update.local = append(update.local, endpoint)
	default:
		update.local = append(update.local, endpoint)
	}
}
