package routing

// The weights of the decision, as measured by BenchmarkDecision.
const (
	// scanAll is the number of endpoints up to which all are weighed.
	scanAll = 12
	// randomDraws is how many others are weighed in a larger pool, extraDraws how
	// many more while no free slot was found.
	randomDraws = 4
	extraDraws  = 6
	// loadWeight is what a full batch adds to the score, as a part of the hold
	// time: a fuller batch decodes slower and is fuller than its report says.
	loadWeight = 0.2
	// coldWeight multiplies the prefill time in the score, as it also delays the
	// other calls of the endpoint.
	coldWeight = 10.0
	// alikeWeight is how far other VMs' calls are guessed from the own ones; the
	// rest is left to the load report.
	alikeWeight = 0.8
	// alikeMost bounds how many calls of others one own call stands for.
	alikeMost = 7.0
	// lateSlack is how many times the usual lateness an endpoint may have before
	// it counts against it.
	lateSlack = 2.0
	// reportTrust is the age in seconds at which a report counts for 1/e.
	reportTrust = 1.0
)
