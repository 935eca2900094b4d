package routing

import "time"

// Weights of the affinity policy; BenchmarkDecision compares it with the baselines.
const (
	// maxFullScan is the largest pool in which all endpoints are evaluated.
	maxFullScan = 12
	// randomCandidates is the size of the random sample in a larger pool, extraCandidates
	// the size of its extension while no free slot is found.
	randomCandidates = 4
	extraCandidates  = 6
	// maxConnected is the number of endpoints with an idle connection that are considered
	// beside the sample.
	maxConnected = 4
	// connectSeconds is added to the score of an endpoint without an idle connection, if
	// not all are evaluated: a round trip within the region and its handshake.
	connectSeconds = 0.002
	// idleConnTTL is how long after a call its connection counts as open. Endpoints close
	// idle connections after some seconds.
	idleConnTTL = 5 * time.Second
	// loadWeight is the score of a full batch as a fraction of the slot time: a fuller
	// batch decodes slower, and its report underestimates it.
	loadWeight = 0.2
	// prefillWeight multiplies the prefill time in the score, as a prefill also delays
	// the endpoint's other calls.
	prefillWeight = 10.0
	// maxExtrapolationWeight is the largest weight of the extrapolation from this VM's
	// calls to other VMs'; the load report has the rest.
	maxExtrapolationWeight = 0.8
	// maxExtrapolationRatio bounds how many calls of other VMs are assumed for each of
	// this VM's calls.
	maxExtrapolationRatio = 7.0
	// latenessTolerance is how many times the mean lateness an endpoint's bias may reach
	// before it counts.
	latenessTolerance = 2.0
	// reportDecaySeconds is the age at which a report's weight has fallen to 1/e.
	reportDecaySeconds = 1.0
)
