package throttle

// RequestKind is the reason why a request is sent to an endpoint.
type RequestKind string

// Reasons for requests.
const (
	// KindCall is the first request of a call, KindForwarded that of a call forwarded by
	// another VM.
	KindCall      RequestKind = "call"
	KindForwarded RequestKind = "forwarded"
	// KindRepeat is a retry, KindResumed a request that resumes a stream.
	KindRepeat  RequestKind = "repeat"
	KindResumed RequestKind = "resumed"
	// KindReport is a load probe, KindHealth a health probe.
	KindReport RequestKind = "report"
	KindHealth RequestKind = "health"
)
