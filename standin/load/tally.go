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
	// The histograms reach from a microsecond to ten minutes.
	highestTime = 10 * time.Minute
	digits      = 3
)

// tally collects the counted calls of a run. It is safe for concurrent use.
type tally struct {
	mu         sync.Mutex
	sums       Record
	codes      map[result.Code]int
	priorities groups
	kinds      groups
	origins    groups
	// booked are the non-idempotent calls.
	booked []booked
}

// booked is what the caller of one non-idempotent call was told.
type booked struct {
	operation string
	class     result.Class
}

// groups are the histograms of calls by a name.
type groups map[string]*group

type group struct {
	calls   int
	done    int
	inTime  int
	first   *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		codes:      make(map[result.Code]int),
		priorities: make(groups),
		kinds:      make(groups),
		origins:    make(groups),
	}
}

// shed counts a call that was due and could not be sent.
func (t *tally) shed(counts bool) {
	if !counts {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sums.Calls++
	t.sums.Shed++
}

func (t *tally) take(c Call, origin string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(c)
	t.codes[c.Result.Code]++
	t.priorities.take(c.Arrival.Kind.Priority.String(), c)
	t.kinds.take(c.Arrival.Kind.Name, c)
	t.origins.take(origin, c)
	if c.Arrival.Kind.Ticket {
		t.booked = append(t.booked, booked{
			operation: c.Arrival.Marker,
			class:     c.Result.Class,
		})
	}
}

func (t *tally) count(c Call) {
	t.sums.Calls++
	t.sums.Tries += c.Result.Tries
	switch c.Result.Class {
	case result.ClassDone:
		t.sums.Done++
	case result.ClassNotRun:
		t.sums.NotRun++
	default:
		t.sums.Unknown++
	}
	if c.Result.Class == result.ClassDone && !c.Right {
		t.sums.Wrong++
	}
	if c.InTime {
		t.sums.InTime++
	}
	if c.Result.Class != result.ClassDone {
		t.notDone(c.Arrival.After)
	}
	if c.Result.Tries > 1 {
		t.sums.Retried++
	}
}

func (t *tally) notDone(after time.Duration) {
	if first := &t.sums.FirstNotDone; first.Duration == 0 || after < first.Duration {
		first.Duration = after
	}
	if last := &t.sums.LastNotDone; after > last.Duration {
		last.Duration = after
	}
}

func (g groups) take(name string, c Call) {
	one, ok := g[name]
	if !ok {
		one = &group{
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
		observe(one.refusal, c.Whole)
	}
	if !c.Right {
		return
	}
	one.done++
	observe(one.first, c.First)
	observe(one.whole, c.Whole)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestTime.Microseconds(), digits)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	d = min(max(d, time.Microsecond), highestTime)
	// The value is within the histogram's bounds, so it cannot be refused.
	_ = h.RecordValue(d.Microseconds())
}

func (t *tally) record(o Options, startedAt time.Time) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.sums
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

func (t *tally) codeCounts() []CodeCount {
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

func (g groups) latencies() []Latency {
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
