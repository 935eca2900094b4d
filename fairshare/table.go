package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// maxWorkspaces bounds the table of one service. Each workspace with more than a 256th
	// of the demand is in it.
	maxWorkspaces = 256
	// window is the time constant of the decay. A shorter one counts two calls per second of
	// a small workspace as a burst.
	window = 2 * time.Second
	// maxGrowth bounds the weight of new amounts relative to those at the origin, and so the
	// rounding error.
	maxGrowth = 1e6
	// forgetAfter is when nothing of the earlier amounts is left.
	forgetAfter = 30 * window
)

// decay weighs amounts so that older ones count exponentially less. New amounts get a
// growing weight in place of a pass over all earlier sums.
type decay struct {
	origin time.Time
	// span is the time constant; zero means window.
	span time.Duration
}

func (d decay) seconds() float64 {
	return cmp.Or(d.span, window).Seconds()
}

// weight returns the weight of an amount at the given time. If it exceeds maxGrowth, the
// sums must be rebased.
func (d decay) weight(now time.Time) float64 {
	return math.Exp(now.Sub(d.origin).Seconds() / d.seconds())
}

// perSecond converts a weighted sum to a rate.
func (d decay) perSecond(sum float64, now time.Time) float64 {
	return sum / d.weight(now) / d.seconds()
}

// entry is the demand of one workspace.
type entry struct {
	workspace string
	limit     route.Limit
	// sum includes inherited, the sum of the workspace that this one replaced.
	sum       float64
	inherited float64
	// recent and usual are the workspace's own sums by the decays of that name.
	recent float64
	usual  float64
	// within is the demand of the calls that were not above the share, by the decay of sum.
	within float64
}

// own returns the part of the sum that is known to be the workspace's own.
func (e *entry) own() float64 {
	return e.sum - e.inherited
}

// table holds the decayed demand of the heaviest workspaces of one service, by the
// space-saving algorithm: a workspace that is not in a full table replaces the lightest one
// and inherits its sum, so that a heavy one is never missed.
type table struct {
	decay decay
	// recent and usual are the decays by which bursts are detected, since startedAt.
	recent    decay
	usual     decay
	startedAt time.Time
	entries   []entry
	index     map[string]int
	// total and calls are those of all workspaces; served is the demand that was served, and
	// late counts the calls that show a shortage.
	total  float64
	calls  float64
	served float64
	late   float64
	// recentServed is the served demand by the recent decay.
	recentServed float64
}

func newTable(now time.Time) *table {
	return &table{
		decay: decay{
			origin: now,
		},
		recent: decay{
			origin: now,
			span:   recentWindow,
		},
		usual: decay{
			origin: now,
			span:   usualWindow,
		},
		startedAt: now,
		index:     make(map[string]int),
	}
}

// add records the demand of a call.
func (t *table) add(workspace string, limit route.Limit, amount float64, now time.Time) {
	weight := t.weight(now)
	t.total += amount * weight
	t.calls += weight
	e := t.entryOf(workspace)
	e.limit = limit
	e.sum += amount * weight
	e.recent += amount * t.recent.weight(now)
	e.usual += amount * t.usual.weight(now)
}

// addWithin records the demand of a call that is not above the share of its workspace.
func (t *table) addWithin(workspace string, amount float64, now time.Time) {
	weight := t.weight(now)
	if i, ok := t.index[workspace]; ok {
		t.entries[i].within += amount * weight
	}
}

// withinRate returns the demand per second that was not above the share.
func (t *table) withinRate(workspace string, now time.Time) float64 {
	i, ok := t.index[workspace]
	if !ok {
		return 0
	}
	return t.decay.perSecond(t.entries[i].within, now)
}

// weight returns the weight of an amount now, after rebasing the sums if they grew large.
func (t *table) weight(now time.Time) float64 {
	if now.Sub(t.decay.origin) > forgetAfter {
		*t = *newTable(now)
	}
	t.rebase(now)
	weight := t.decay.weight(now)
	if weight < maxGrowth {
		return weight
	}
	for _, sum := range []*float64{&t.total, &t.calls, &t.served, &t.late} {
		*sum /= weight
	}
	for i := range t.entries {
		t.entries[i].sum /= weight
		t.entries[i].inherited /= weight
		t.entries[i].within /= weight
	}
	t.decay.origin = now
	return 1
}

// rebase rebases the sums by which bursts are detected if they grew large.
func (t *table) rebase(now time.Time) {
	if weight := t.recent.weight(now); weight >= maxGrowth {
		t.recentServed /= weight
		for i := range t.entries {
			t.entries[i].recent /= weight
		}
		t.recent.origin = now
	}
	if weight := t.usual.weight(now); weight >= maxGrowth {
		for i := range t.entries {
			t.entries[i].usual /= weight
		}
		t.usual.origin = now
	}
}

// usualRate returns the usual demand per second of an entry. What preceded the first call is taken
// to be like what followed.
func (t *table) usualRate(e *entry, now time.Time) float64 {
	part := 1 - math.Exp(-max(now.Sub(t.startedAt), recentWindow).Seconds()/usualWindow.Seconds())
	return t.usual.perSecond(e.usual, now) / part
}

// entryOf returns the entry of a workspace, which replaces the lightest one if the table
// is full.
func (t *table) entryOf(workspace string) *entry {
	if i, ok := t.index[workspace]; ok {
		return &t.entries[i]
	}
	if len(t.entries) < maxWorkspaces {
		t.index[workspace] = len(t.entries)
		t.entries = append(t.entries, entry{
			workspace: workspace,
		})
		return &t.entries[len(t.entries)-1]
	}
	lightest := 0
	for i := range t.entries {
		if t.entries[i].sum < t.entries[lightest].sum {
			lightest = i
		}
	}
	e := &t.entries[lightest]
	delete(t.index, e.workspace)
	t.index[workspace] = lightest
	*e = entry{
		workspace: workspace,
		sum:       e.sum,
		inherited: e.sum,
	}
	return e
}

// rate returns the demand per second that is known to be the workspace's own.
func (t *table) rate(workspace string, now time.Time) float64 {
	i, ok := t.index[workspace]
	if !ok {
		return 0
	}
	return t.decay.perSecond(t.entries[i].own(), now)
}

// heaviest returns the entries with at least the given part of the demand, the heaviest
// ones first.
func (t *table) heaviest(leastPart float64, most int) []entry {
	var out []entry
	for _, e := range t.entries {
		if e.own() > 0 && e.own() >= leastPart*t.total {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b entry) int {
		return cmp.Compare(b.own(), a.own())
	})
	return out[:min(most, len(out))]
}
