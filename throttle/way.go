package throttle

// Way is the reason why a request is sent to an endpoint.
type Way string

// Reasons for requests.
const (
	// WayCall is the first request of a call, WayForwarded that of a call forwarded by
	// another VM.
	WayCall      Way = "call"
	WayForwarded Way = "forwarded"
	// WayRepeat is a retry, WayResumed a request that resumes a stream.
	WayRepeat  Way = "repeat"
	WayResumed Way = "resumed"
	// WayReport is a load probe, WayHealth a health probe.
	WayReport Way = "report"
	WayHealth Way = "health"
)
