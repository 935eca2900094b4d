package load

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Record is what became of one run. It holds only calls after the warm-up,
// but for Endpoints and VMs, which count the whole run.
type Record struct {
	Name      string         `json:"name,omitempty"`
	StartedAt time.Time      `json:"started_at"`
	Seed      uint64         `json:"seed"`
	Rate      float64        `json:"rate"`
	Duration  jsonc.Duration `json:"duration"`
	WarmUp    jsonc.Duration `json:"warm_up"`
	Mix       string         `json:"mix"`
	// Calls were due; Shed of them were not sent, since too many were in flight.
	Calls   int `json:"calls"`
	Shed    int `json:"shed"`
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Wrong answers claim to be done and are not the whole own answer.
	Wrong int `json:"wrong"`
	// InTime counts each call once if its whole own answer came in time.
	InTime int `json:"in_time"`
	// FirstNotDone and LastNotDone bound the scheduled arrivals, from the start
	// of the run, of the calls that were not done; zero when all were.
	FirstNotDone jsonc.Duration `json:"first_not_done"`
	LastNotDone  jsonc.Duration `json:"last_not_done"`
	// Retried calls took more than one try; Tries counts all tries.
	Retried    int         `json:"retried"`
	Tries      int         `json:"tries"`
	Codes      []CodeCount `json:"codes"`
	Priorities []Latency   `json:"priorities"`
	Kinds      []Latency   `json:"kinds"`
	Origins    []Latency   `json:"origins"`
	// Runs compares what callers were told with what the services ran.
	Runs Runs `json:"runs"`
	// Endpoints sums the endpoints' own counts by region.
	Endpoints []RegionCount `json:"endpoints"`
	VMs       VMCount       `json:"vms"`
	// SentAwayShare is the part of all calls that the VMs sent to another region.
	SentAwayShare float64 `json:"sent_away_share"`
}

// CodeCount counts the calls that ended with a code; zero is no valid answer.
type CodeCount struct {
	Code  result.Code `json:"code"`
	Name  string      `json:"name"`
	Calls int         `json:"calls"`
}

// Latency is the tails of one group of calls. First and Whole count only whole
// own answers, from the scheduled arrival.
type Latency struct {
	Name   string    `json:"name"`
	Calls  int       `json:"calls"`
	Done   int       `json:"done"`
	InTime int       `json:"in_time"`
	First  Quantiles `json:"first"`
	Whole  Quantiles `json:"whole"`
	// Refusal is the time until a refusal that is certain.
	Refusal Quantiles `json:"refusal"`
}

// Quantiles of one histogram; zero when it is empty.
type Quantiles struct {
	Count int64          `json:"count"`
	P50   jsonc.Duration `json:"p50"`
	P95   jsonc.Duration `json:"p95"`
	P99   jsonc.Duration `json:"p99"`
	Max   jsonc.Duration `json:"max"`
}

// Runs compares non-idempotent calls with the services' counts.
type Runs struct {
	Operations int `json:"operations"`
	// Doubled operations ran more than once.
	Doubled int `json:"doubled"`
	// RanNotRun operations ran, though their callers were told that they did not.
	RanNotRun int `json:"ran_not_run"`
	// Lost operations did not run, though their callers were told that they did.
	Lost int `json:"lost"`
}

// RegionCount sums the counts of one region's endpoints over a run.
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

// Find returns the latencies of one name, or zeros.
func Find(groups []Latency, name string) Latency {
	for _, l := range groups {
		if l.Name == name {
			return l
		}
	}
	return Latency{}
}

// Cold sums the cold prefills of all regions.
func (r *Record) Cold() int {
	n := 0
	for _, c := range r.Endpoints {
		n += c.ColdPrefills
	}
	return n
}

// ComputedTokens sums the prompt tokens that no cache held.
func (r *Record) ComputedTokens() int {
	n := 0
	for _, c := range r.Endpoints {
		n += c.PromptTokens - c.CachedTokens
	}
	return n
}

// GeneratedTokens sums the generated tokens of all regions.
func (r *Record) GeneratedTokens() int {
	n := 0
	for _, c := range r.Endpoints {
		n += c.GeneratedTokens
	}
	return n
}
