package origin

import "time"

// Question asks which endpoints of a service can have begun a stream.
type Question struct {
	Service string
	// Part is the id of the last part of the prompt, which belongs to one request or session.
	Part uint64
	// Since is when the stream began at the earliest.
	Since time.Time
	// Host and Target are those of the request.
	Host   string
	Target string
}

// EndpointEvidence is what is known of an endpoint about the last part of a prompt, which
// belongs to one request or to one session.
type EndpointEvidence struct {
	Endpoint string
	Version  string
	// HasRead is set if the endpoint has read the part.
	HasRead bool
	// Complete is set if the endpoint knows all that it has read since its start.
	Complete bool
}

// Evidence is what is known about the endpoints at which a stream may have begun.
type Evidence struct {
	// Endpoints are the answers of endpoints, Serving the versions of all that take calls now,
	// by id.
	Endpoints []EndpointEvidence
	Serving   map[string]string
	// DeparturesKnown is set if Departures has all endpoints that may have left since the
	// stream began, and the request's route has led to no other service since.
	DeparturesKnown bool
	Departures      []Departure
}

// Version returns the software version that began the stream: the only one of which an
// endpoint has read the part, if no endpoint of another version can have begun it. Each of
// those must say that it has not read the part, and none may have left since the stream began.
func (e Evidence) Version() (version string, ok bool) {
	if !e.DeparturesKnown {
		return "", false
	}
	unread := make(map[string]bool)
	for _, a := range e.Endpoints {
		switch {
		case a.HasRead && ok && a.Version != version:
			return "", false
		case a.HasRead:
			version, ok = a.Version, true
		case a.Complete:
			unread[a.Endpoint] = true
		}
	}
	if !ok {
		return "", false
	}
	for id, v := range e.Serving {
		if v != version && !unread[id] {
			return "", false
		}
	}
	for _, d := range e.Departures {
		if d.VersionUnknown || d.Version != version {
			return "", false
		}
	}
	return version, true
}
