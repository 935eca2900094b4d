package load

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Record holds the results of a run. It covers the calls after the warm-up,
// except for Endpoints and VMs, which cover the whole run.
type Record struct {
	Name      string         `json:"name,omitempty"`
	StartedAt time.Time      `json:"started_at"`
	Seed      uint64         `json:"seed"`
	Rate      float64        `json:"rate"`
	Duration  jsonc.Duration `json:"duration"`
	WarmUp    jsonc.Duration `json:"warm_up"`
	Mix       string         `json:"mix"`
	// Calls is the number of calls due. Shed counts those that were not sent
	// because too many were in flight.
	Calls   int `json:"calls"`
	Shed    int `json:"shed"`
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Incorrect counts calls reported as done whose answer is incomplete or belongs
	// to another call.
	Incorrect int `json:"wrong"`
	// InTime counts correct answers within the latency limits.
	InTime int `json:"in_time"`
	// FirstNotDone and LastNotDone are the earliest and latest scheduled
	// arrivals, from the start of the run, of calls that did not succeed.
	FirstNotDone jsonc.Duration `json:"first_not_done"`
	LastNotDone  jsonc.Duration `json:"last_not_done"`
	// Retried counts calls with more than one attempt; Tries counts all attempts.
	Retried    int         `json:"retried"`
	Tries      int         `json:"tries"`
	Codes      []CodeCount `json:"codes"`
	Priorities []Latency   `json:"priorities"`
	Kinds      []Latency   `json:"kinds"`
	Origins    []Latency   `json:"origins"`
	Runs       Runs        `json:"runs"`
	// Endpoints holds the counters of the engines by region.
	Endpoints []RegionCount `json:"endpoints"`
	VMs       VMCount       `json:"vms"`
	// SentAwayShare is the fraction of calls that VMs sent to another region.
	SentAwayShare float64 `json:"sent_away_share"`
}

// CodeCount counts the calls that ended with a result code. Code zero means
// that there was no valid answer.
type CodeCount struct {
	Code  result.Code `json:"code"`
	Name  string      `json:"name"`
	Calls int         `json:"calls"`
}

// Latency holds the latency quantiles of a group of calls. First and Whole
// cover correct answers only.
type Latency struct {
	Name   string    `json:"name"`
	Calls  int       `json:"calls"`
	Done   int       `json:"done"`
	InTime int       `json:"in_time"`
	First  Quantiles `json:"first"`
	Whole  Quantiles `json:"whole"`
	// Refusal covers calls that certainly did not run.
	Refusal Quantiles `json:"refusal"`
}

// Quantiles summarizes a histogram. It is zero for an empty one.
type Quantiles struct {
	Count int64          `json:"count"`
	P50   jsonc.Duration `json:"p50"`
	P95   jsonc.Duration `json:"p95"`
	P99   jsonc.Duration `json:"p99"`
	Max   jsonc.Duration `json:"max"`
}

// Runs compares the results of non-idempotent calls with the runs that the
// services counted.
type Runs struct {
	Operations int `json:"operations"`
	// Doubled counts operations that ran more than once.
	Doubled int `json:"doubled"`
	// RanNotRun counts operations that ran but were reported as not run.
	RanNotRun int `json:"ran_not_run"`
	// Lost counts operations that did not run but were reported as done.
	Lost int `json:"lost"`
}

// RegionCount sums the counters of a region's engines over a run.
type RegionCount struct {
	Region          string `json:"region"`
	Runs            int    `json:"runs"`
	ColdPrefills    int    `json:"cold_prefills"`
	PromptTokens    int    `json:"prompt_tokens"`
	CachedTokens    int    `json:"cached_tokens"`
	GeneratedTokens int    `json:"generated_tokens"`
}

// VMCount sums the VMs' counters over a run.
type VMCount struct {
	SentAway     int `json:"sent_away"`
	Forwards     int `json:"forwards"`
	Retries      int `json:"retries"`
	ControlBytes int `json:"control_bytes"`
}

// FindLatency returns the latencies of the named group, or the zero value.
func FindLatency(groups []Latency, name string) Latency {
	for _, l := range groups {
		if l.Name == name {
			return l
		}
	}
	return Latency{}
}

// ColdPrefills returns the number of cold prefills in all regions.
func (r *Record) ColdPrefills() int {
	n := 0
	for _, c := range r.Endpoints {
		n += c.ColdPrefills
	}
	return n
}

// ComputedTokens returns the number of prompt tokens that missed the cache.
func (r *Record) ComputedTokens() int {
	n := 0
	for _, c := range r.Endpoints {
		n += c.PromptTokens - c.CachedTokens
	}
	return n
}

// GeneratedTokens returns the number of tokens generated in all regions.
func (r *Record) GeneratedTokens() int {
	n := 0
	for _, c := range r.Endpoints {
		n += c.GeneratedTokens
	}
	return n
}
