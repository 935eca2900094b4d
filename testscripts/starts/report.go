package main

import (
	"fmt"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// minIdleSeconds is how long an engine that had calls must have had none, or how long after
	// the first traffic it must be seen first, to count as one that starts. Engines in use are
	// rarely without a call for so long.
	minIdleSeconds = 2.5
	// firstSeconds is the time after the first call in which calls count.
	firstSeconds = 3.0
	// shareWindow is the window in which an engine's calls are compared with the mean of the
	// others, and maxShareSeconds how long they are compared.
	shareWindow     = 0.5
	maxShareSeconds = 10.0
)

const header = `| Log | Starts | Calls in 3 s, mean (most) | First token late | 95% of first tokens | Failed | Under half of the others' mean |
| --- | --- | --- | --- | --- | --- | --- |`

// start is the moment of the first call of an engine that starts.
type start struct {
	endpoint string
	seconds  float64
}

// report sums the first seconds of all engines that started.
type report struct {
	starts     int
	calls      int
	mostCalls  int
	late       int
	failed     int
	firstMs    []int64
	underShare float64
}

func newReport(calls []engineCall) report {
	byEndpoint := make(map[string][]engineCall)
	for _, c := range calls {
		byEndpoint[c.endpoint] = append(byEndpoint[c.endpoint], c)
	}
	var r report
	for _, s := range findStarts(byEndpoint) {
		r.add(s, byEndpoint)
	}
	return r
}

// findStarts returns the starts by endpoint and time.
func findStarts(byEndpoint map[string][]engineCall) []start {
	var out []start
	for endpoint, calls := range byEndpoint {
		last := 0.0
		for _, c := range calls {
			if c.seconds-last >= minIdleSeconds {
				out = append(out, start{
					endpoint: endpoint,
					seconds:  c.seconds,
				})
			}
			last = c.seconds
		}
	}
	return out
}

func (r *report) add(s start, byEndpoint map[string][]engineCall) {
	n := 0
	for _, c := range byEndpoint[s.endpoint] {
		if c.seconds < s.seconds || c.seconds >= s.seconds+firstSeconds || !c.ended {
			continue
		}
		n++
		switch {
		case result.Code(c.code).Class() != result.ClassDone:
			r.failed++
		case c.firstMs > c.objectiveMs:
			r.late++
			r.firstMs = append(r.firstMs, c.firstMs)
		default:
			r.firstMs = append(r.firstMs, c.firstMs)
		}
	}
	r.starts++
	r.calls += n
	r.mostCalls = max(r.mostCalls, n)
	r.underShare += underShareSeconds(s, byEndpoint)
}

// underShareSeconds returns how long the engine got less than half of the mean of the others'
// calls.
func underShareSeconds(s start, byEndpoint map[string][]engineCall) float64 {
	for after := 0.0; after < maxShareSeconds; after += shareWindow {
		from := s.seconds + after
		own := countBetween(byEndpoint[s.endpoint], from, from+shareWindow)
		others, engines := 0, 0
		for endpoint, calls := range byEndpoint {
			n := countBetween(calls, from, from+shareWindow)
			if endpoint == s.endpoint || n == 0 {
				continue
			}
			others += n
			engines++
		}
		if engines == 0 || 2*float64(own)*float64(engines) >= float64(others) {
			return after
		}
	}
	return maxShareSeconds
}

func countBetween(calls []engineCall, from, to float64) int {
	n := 0
	for _, c := range calls {
		if c.seconds >= from && c.seconds < to {
			n++
		}
	}
	return n
}

func (r report) row(name string) string {
	if r.starts == 0 {
		return fmt.Sprintf("| %s | 0 | - | - | - | - | - |", name)
	}
	slices.Sort(r.firstMs)
	p95 := int64(0)
	if len(r.firstMs) > 0 {
		p95 = r.firstMs[len(r.firstMs)*95/100]
	}
	starts, calls := float64(r.starts), float64(max(r.calls, 1))
	return fmt.Sprintf("| %s | %d | %.1f (%d) | %.3f | %d ms | %.3f | %.1f s |", name, r.starts, float64(r.calls)/starts, r.mostCalls,
		float64(r.late)/calls, p95, float64(r.failed)/calls, r.underShare/starts)
}
