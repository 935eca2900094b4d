package emulator

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Summary adds up the reports of several runs.
type Summary struct {
	Requests         int
	Answered         int
	Served           int
	Runs             int
	Retries          int
	RunOverruns      int
	Failures         int
	Faults           int
	EndpointCrashes  int
	CallerRetries    int
	FalseQuarantines int
	CrashNotes       int
	LimitedRequests  int
	AllowedRequests  float64
	Streams          int
	ResumedStreams   int
	DeducedStreams   int
	StreamsGoneOn    int
	Events           int
	// Failed holds the runs with violations, sorted by seed.
	Failed []Report
}

// RunAll runs count consecutive seeds, beginning with o.Seed, on all processors.
func RunAll(o Options, count uint64) Summary {
	var sum Summary
	var mu sync.Mutex
	var nextSeed atomic.Uint64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := nextSeed.Add(1) - 1; i < count; i = nextSeed.Add(1) - 1 {
				runOptions := o
				runOptions.Seed += i
				r := Run(runOptions)
				mu.Lock()
				sum.add(r)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	slices.SortFunc(sum.Failed, func(a, b Report) int { return cmp.Compare(a.Seed, b.Seed) })
	return sum
}

func (s *Summary) add(r Report) {
	s.Requests += r.Requests
	s.Answered += r.Answered
	s.Served += r.Served
	s.Runs += r.Runs
	s.Retries += r.Retries
	s.RunOverruns += r.RunOverruns
	s.Failures += r.Failures
	s.Faults += r.Faults
	s.EndpointCrashes += r.EndpointCrashes
	s.CallerRetries += r.CallerRetries
	s.FalseQuarantines += r.FalseQuarantines
	s.CrashNotes += r.CrashNotes
	s.LimitedRequests += r.LimitedRequests
	s.AllowedRequests += r.AllowedRequests
	s.Streams += r.Streams
	s.ResumedStreams += r.ResumedStreams
	s.DeducedStreams += r.DeducedStreams
	s.StreamsGoneOn += r.StreamsGoneOn
	s.Events += r.Events
	if len(r.Violations) > 0 {
		s.Failed = append(s.Failed, r)
	}
}
