package throttle

// Way is how a request came to be sent to an endpoint.
type Way string

// The ways.
const (
	// WayCall is a call's first request, WayForwarded the first of a call that another VM
	// has forwarded.
	WayCall      Way = "call"
	WayForwarded Way = "forwarded"
	// WayRepeat sends a call once more, WayResumed goes on with its stream.
	WayRepeat  Way = "repeat"
	WayResumed Way = "resumed"
	// WayReport asks for an endpoint's load, WayHealth for its health.
	WayReport Way = "report"
	WayHealth Way = "health"
)
