package throttle

// RequestKind is the reason why a request is sent to an endpoint.
type RequestKind string

// Reasons for requests.
const (
	// WayCall is the first request of a call, WayForwarded that of a call forwarded by
	// another VM.
	WayCall      RequestKind = "call"
	WayForwarded RequestKind = "forwarded"
	// WayRepeat is a retry, WayResumed a request that resumes a stream.
	WayRepeat  RequestKind = "repeat"
	WayResumed RequestKind = "resumed"
	// WayReport is a load probe, WayHealth a health probe.
	WayReport RequestKind = "report"
	WayHealth RequestKind = "health"
)
