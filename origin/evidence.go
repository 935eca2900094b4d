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

// Doubt says why the software version that began a stream does not follow from the evidence;
// empty means that it does.
type Doubt string

// The values of Doubt.
const (
	DoubtNoPrompt           Doubt = "no_prompt"
	DoubtDeparturesUnknown  Doubt = "departures_unknown"
	DoubtNotRead            Doubt = "not_read"
	DoubtSeveralVersions    Doubt = "read_at_several_versions"
	DoubtEndpointIncomplete Doubt = "endpoint_incomplete"
	DoubtEndpointDeparted   Doubt = "endpoint_departed"
)

// Version returns the software version that began the stream: the only one of which an
// endpoint has read the part, if no endpoint of another version can have begun it. Each of
// those must say that it has not read the part, and none may have left since the stream began.
func (e Evidence) Version() (version string, doubt Doubt) {
	if !e.DeparturesKnown {
		return "", DoubtDeparturesUnknown
	}
	version, doubt = e.versionRead()
	if doubt != "" {
		return "", doubt
	}
	unread := make(map[string]bool)
	for _, a := range e.Endpoints {
		if a.Complete && !a.HasRead {
			unread[a.Endpoint] = true
		}
	}
	for id, v := range e.Serving {
		if v != version && !unread[id] {
			return "", DoubtEndpointIncomplete
		}
	}
	for _, d := range e.Departures {
		if d.VersionUnknown || d.Version != version {
			return "", DoubtEndpointDeparted
		}
	}
	return version, ""
}

// versionRead returns the only version of which an endpoint has read the part.
func (e Evidence) versionRead() (version string, doubt Doubt) {
	doubt = DoubtNotRead
	for _, a := range e.Endpoints {
		if a.HasRead && doubt == "" && a.Version != version {
			return "", DoubtSeveralVersions
		}
		if a.HasRead {
			version, doubt = a.Version, ""
		}
	}
	return version, doubt
}
