package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Request describes a call to be routed.
type Request struct {
	// PrefixHash identifies the prompt prefix; zero means none.
	PrefixHash uint64
	// Prefixes are the shared prefixes of the prompt, shortest first, if the caller names
	// the prompt's parts.
	Prefixes     []Prefix
	PromptTokens int
	MaxTokens    int
	// AnswerTokens is the caller's estimate of the generated tokens; zero means no
	// estimate.
	AnswerTokens int
	Priority     call.Priority
	// Deadline is when the whole answer must have arrived; zero means no deadline.
	Deadline time.Time
	// QueueLevel is the call's level in an endpoint's queue; 0 is served first. Values of
	// call.QueueLevels or more count as the last level.
	QueueLevel int
	// Exclude holds the IDs of endpoints that were already tried; empty strings are
	// ignored.
	Exclude [2]string
	// Homes are the regions that may hold the prompt; empty means all.
	Homes []string
	// Pin restricts the choice to endpoints of one software version.
	Pin fleet.VersionPin
	// AllowExcluded allows an excluded endpoint if no other is available. It is set if the call
	// ran there and failed by itself, so that a retry may succeed.
	AllowExcluded bool
	// Tentative is set for a call that may not be sent to the chosen endpoint after all.
	// Confirm records the prefixes there once it is sent.
	Tentative bool

	// ringPrimary and ringSecondary are the prefix's endpoints on the hash ring.
	ringPrimary, ringSecondary *endpoint
	// fetchSource is the engine that holds most of the prompt.
	fetchSource fetchSource
	// checksMemory excludes endpoints whose memory is too small for the call.
	checksMemory bool
	// laterFraction is the estimated fraction of other VMs' waiting calls that are of a later
	// queue level.
	laterFraction float64
}

// Choice is one call in flight at one endpoint. It must be released by Done exactly once.
type Choice struct {
	Endpoint fleet.Endpoint
	At       time.Time
	// QueueTime is the expected time in the endpoint's queue, TTFT the expected time to the
	// first token, and ServiceTime the expected time from the start of the prefill to the end
	// of the answer.
	QueueTime   time.Duration
	TTFT        time.Duration
	ServiceTime time.Duration
	// Affine is set if the endpoint is expected to have the prompt's prefix cached.
	Affine bool
	// FetchFrom is the address of an engine to fetch cached prefixes from; empty if a
	// fetch would not pay off.
	FetchFrom string
	// CachedTokens is the number of prompt tokens that need no prefill.
	CachedTokens int
	// ReportAge is the age of the endpoint's last load report; zero without one.
	ReportAge time.Duration
	// MemoryRatio is the part of the endpoint's memory that is expected to be in use with this
	// call; zero if unknown.
	MemoryRatio float64
	// EngineTokenTime is the time per generated token by the endpoint's last report; zero if
	// unknown.
	EngineTokenTime time.Duration
	// Probe is set on the single call that tests an endpoint after its backoff.
	Probe bool

	state *endpoint
	// predictedTTFT is TTFT in seconds without the endpoint's latency correction.
	predictedTTFT float64
	// tokensAhead is the expected number of tokens in the endpoint's prefill queue before
	// this call, promptID the call's entry in that queue.
	tokensAhead float64
	promptID    uint64
	// queued is set if the call is expected to wait for a slot.
	queued bool
	// prefillTokens is the expected number of the call's own tokens to prefill;
	// prefixesKnown is set if it was computed from named prefixes.
	prefillTokens float64
	prefixesKnown bool
	// occupancy is the expected number of calls at the endpoint, including this one.
	occupancy float64
	// memoryNeed is the expected number of tokens that the call holds.
	memoryNeed float64
	hasPrefix  bool
	maxTokens  int
	// yields is set for a call that is queued behind all calls that can still be on time.
	yields bool
}

// Outcome is the result of a call as reported to Done.
type Outcome struct {
	// Code is the call's result. Zero and codes that say nothing about the endpoint leave
	// its estimates unchanged.
	Code  result.Code
	Usage call.Usage
	// Sent is false if nothing reached the endpoint.
	Sent bool
	// Canceled is set if the caller canceled the call; its outcome is ignored.
	Canceled bool
	// EndpointError is set if the endpoint ran the call and returned an error, which may be
	// the call's own fault.
	EndpointError bool
	// FirstAt is when the first token or byte of the answer arrived; zero if none did.
	FirstAt time.Time
}
