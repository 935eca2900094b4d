package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// maxLatency is the upper bound of the histograms.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// collector aggregates the calls of a run. It is safe for concurrent use.
type collector struct {
	mu            sync.Mutex
	totals        Record
	codes         map[result.Code]int
	priorities    latencyGroups
	kinds         latencyGroups
	origins       latencyGroups
	nonIdempotent []operationOutcome
}

// operationOutcome is the result of a non-idempotent call as its caller saw it.
type operationOutcome struct {
	operation string
	class     result.Class
}

// latencyGroups maps the name of a group of calls to its histograms.
type latencyGroups map[string]*latencyGroup

type latencyGroup struct {
	calls   int
	done    int
	inTime  int
	first   *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		codes:      make(map[result.Code]int),
		priorities: make(latencyGroups),
		kinds:      make(latencyGroups),
		origins:    make(latencyGroups),
	}
}

// addShed counts a call that was due but not sent.
func (t *collector) addShed(counts bool) {
	if !counts {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Calls++
	t.totals.Shed++
}

func (t *collector) addCall(c Call, origin string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addToTotals(c)
	t.codes[c.Result.Code]++
	t.priorities.addCall(c.Arrival.Kind.Priority.String(), c)
	t.kinds.addCall(c.Arrival.Kind.Name, c)
	t.origins.addCall(origin, c)
	if c.Arrival.Kind.Ticket {
		t.nonIdempotent = append(t.nonIdempotent, operationOutcome{
			operation: c.Arrival.Marker,
			class:     c.Result.Class,
		})
	}
}

func (t *collector) addToTotals(c Call) {
	t.totals.Calls++
	t.totals.Tries += c.Result.Attempts
	switch c.Result.Class {
	case result.ClassDone:
		t.totals.Done++
	case result.ClassNotRun:
		t.totals.NotRun++
	default:
		t.totals.Unknown++
	}
	if c.Result.Class == result.ClassDone && !c.Correct {
		t.totals.Incorrect++
	}
	if c.InTime {
		t.totals.InTime++
	}
	if c.Result.Class != result.ClassDone {
		t.addFailureOffset(c.Arrival.Offset)
	}
	if c.Result.Attempts > 1 {
		t.totals.Retried++
	}
}

func (t *collector) addFailureOffset(after time.Duration) {
	if first := &t.totals.FirstNotDone; first.Duration == 0 || after < first.Duration {
		first.Duration = after
	}
	if last := &t.totals.LastNotDone; after > last.Duration {
		last.Duration = after
	}
}

func (g latencyGroups) addCall(name string, c Call) {
	one, ok := g[name]
	if !ok {
		one = &latencyGroup{
			first:   newHistogram(),
			whole:   newHistogram(),
			refusal: newHistogram(),
		}
		g[name] = one
	}
	one.calls++
	if c.InTime {
		one.inTime++
	}
	if c.Result.Class == result.ClassNotRun {
		observe(one.refusal, c.TotalLatency)
	}
	if !c.Correct {
		return
	}
	one.done++
	observe(one.first, c.FirstLatency)
	observe(one.whole, c.TotalLatency)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	d = min(max(d, time.Microsecond), maxLatency)
	// RecordValue fails only for values out of range, and d is clamped.
	_ = h.RecordValue(d.Microseconds())
}

func (t *collector) record(o Options, startedAt time.Time) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.totals
	r.StartedAt = startedAt.UTC()
	r.Seed = o.Seed
	r.Rate = o.Rate
	r.Duration.Duration = o.Duration
	r.WarmUp.Duration = o.WarmUp
	r.Mix = o.Mix.Name
	r.Codes = t.codeCounts()
	r.Priorities = t.priorities.latencies()
	r.Kinds = t.kinds.latencies()
	r.Origins = t.origins.latencies()
	return &r
}

func (t *collector) codeCounts() []CodeCount {
	var out []CodeCount
	for code, calls := range t.codes {
		name := "no_answer"
		if info, ok := result.Lookup(code); ok {
			name = info.Name
		}
		out = append(out, CodeCount{
			Code:  code,
			Name:  name,
			Calls: calls,
		})
	}
	slices.SortFunc(out, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return out
}

func (g latencyGroups) latencies() []Latency {
	var out []Latency
	for name, one := range g {
		out = append(out, Latency{
			Name:    name,
			Calls:   one.calls,
			Done:    one.done,
			InTime:  one.inTime,
			First:   quantiles(one.first),
			Whole:   quantiles(one.whole),
			Refusal: quantiles(one.refusal),
		})
	}
	slices.SortFunc(out, func(a, b Latency) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const p50, p95, p99 = 50, 95, 99
	return Quantiles{
		Count: h.TotalCount(),
		P50:   atQuantile(h, p50),
		P95:   atQuantile(h, p95),
		P99:   atQuantile(h, p99),
		Max:   micros(h.Max()),
	}
}

func atQuantile(h *hdrhistogram.Histogram, q float64) jsonc.Duration {
	return micros(h.ValueAtQuantile(q))
}

func micros(n int64) jsonc.Duration {
	return jsonc.Duration{
		Duration: time.Duration(n) * time.Microsecond,
	}
}
