package emulator

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Sum is what became of several runs.
type Sum struct {
	Requests int
	Answered int
	Runs     int
	Faults   int
	Crashed  int
	Repeated int
	Wronged  int
	Limited  int
	Allowed  float64
	Steps    int
	// Bad are the runs with violations, by seed.
	Bad []Report
}

// PlayAll plays so many seeds, from that of the options on, on all processors.
func PlayAll(o Options, count uint64) Sum {
	var sum Sum
	var mu sync.Mutex
	var next atomic.Uint64
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := next.Add(1) - 1; i < count; i = next.Add(1) - 1 {
				one := o
				one.Seed += i
				r := Run(one)
				mu.Lock()
				sum.add(r)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	slices.SortFunc(sum.Bad, func(a, b Report) int { return cmp.Compare(a.Seed, b.Seed) })
	return sum
}

func (s *Sum) add(r Report) {
	s.Requests += r.Requests
	s.Answered += r.Answered
	s.Runs += r.Runs
	s.Faults += r.Faults
	s.Crashed += r.Crashed
	s.Repeated += r.Repeated
	s.Wronged += r.Wronged
	s.Limited += r.Limited
	s.Allowed += r.Allowed
	s.Steps += r.Steps
	if len(r.Violations) > 0 {
		s.Bad = append(s.Bad, r)
	}
}
