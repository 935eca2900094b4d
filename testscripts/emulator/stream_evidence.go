package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
)

const (
	// evidenceTimeout and requestDelay equal the gateway's.
	evidenceTimeout = 800 * time.Millisecond
	requestDelay    = 500 * time.Millisecond
	// missedBeats is the number of heartbeats in the lease of an entry.
	missedBeats = 3
)

// readPrompt records that an engine has read the prompt of a stream.
func (e *engine) readPrompt(stream int) {
	if e.read == nil {
		e.read = make(map[int]bool)
	}
	e.read[stream] = true
}

// observeDepartures records the endpoints that no longer accept calls.
func (v *vm) observeDepartures(accepting []discovery.AvailableEndpoint) {
	serving := make(map[string]string, len(accepting))
	for _, e := range accepting {
		serving[e.ID] = e.SoftwareVersion
	}
	for id, version := range v.servingVersions {
		if serving[id] != version {
			v.origins.ObserveDeparture(serviceName, version, v.now())
		}
	}
	v.servingVersions = serving
}

// deduceOrigin asks a VM of each region what its engines have read.
func (v *vm) deduceOrigin(r *streamRequest, then func(version string, ok bool)) {
	w := v.world
	since := r.stream.deadline.Add(-streamDeadline - requestDelay)
	found := origin.Evidence{
		Serving: make(map[string]string),
	}
	for _, e := range v.discovery.Listed(serviceName) {
		found.Serving[e.ID] = e.SoftwareVersion
	}
	left, done := w.topology.regions, false
	answer := func(part origin.Evidence) {
		v.run(r.incarnation, func() {
			found.Endpoints = append(found.Endpoints, part.Endpoints...)
			found.Departures = append(found.Departures, part.Departures...)
			found.DeparturesKnown = found.DeparturesKnown || part.DeparturesKnown
			if left--; left > 0 || done {
				return
			}
			done = true
			version, doubt := found.Version()
			then(version, doubt == "")
		})
	}
	for region := range w.topology.regions {
		to := v.memberOf(regionName(region))
		if to == nil {
			continue
		}
		w.network.send(v.member.Region, to.member.Region, func() {
			to.run(to.incarnation, func() {
				part := to.evidence(r.stream.id, since)
				w.network.send(to.member.Region, v.member.Region, func() { answer(part) })
			})
		})
	}
	w.after(evidenceTimeout, func() {
		v.run(r.incarnation, func() {
			if !done {
				done = true
				then("", false)
			}
		})
	})
}

// evidence returns what the engines of this VM's region have read.
func (v *vm) evidence(stream int, since time.Time) origin.Evidence {
	v.restoreHistory()
	var out origin.Evidence
	for _, listed := range v.discovery.Listed(serviceName) {
		e := v.world.engineByID(listed.ID)
		if listed.Region != v.member.Region || e == nil || !e.up {
			continue
		}
		out.Endpoints = append(out.Endpoints, origin.EndpointEvidence{
			Endpoint: listed.ID,
			Version:  listed.SoftwareVersion,
			HasRead:  e.read[stream],
			Complete: true,
		})
	}
	out.Departures, out.DeparturesKnown = v.origins.Departures(serviceName, since)
	if v.snapshot().StoreUnreadable() {
		out.DeparturesKnown = false
	}
	return out
}

// restoreHistory reads what the store has of the changes before this VM's first read.
func (v *vm) restoreHistory() {
	s := v.world.store
	if v.historyRead || v.firstPosition.IsZero() || v.firstPosition.Era != s.position.Era || v.snapshot().StoreUnreadable() {
		return
	}
	v.historyRead = true
	h := origin.History{
		Until:     v.firstReadAt,
		Whole:     s.compactedRevision == 0,
		Heartbeat: leaseTTL / missedBeats,
		Drain:     drainTimeout,
	}
	for _, item := range s.history {
		change := s.decode(item)
		if change.Endpoint == nil || item.Revision > v.firstPosition.Revision {
			continue
		}
		h.Writes = append(h.Writes, origin.Write{
			Endpoint:    change.Endpoint.ID,
			Removed:     item.Removed,
			Service:     change.Endpoint.Service,
			Version:     change.Endpoint.SoftwareVersion,
			Incarnation: change.Endpoint.Incarnation,
			Seq:         change.Endpoint.Seq,
			Draining:    change.Endpoint.State == fleet.StateLeaving,
		})
	}
	v.origins.Restore(serviceName, h.Past(serviceName))
}
