package limit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/limit"
)

// scene is a measurement of what callers get of a contract.
type scene struct {
	name  string
	steps []step
	from  time.Duration
	until time.Duration
}

var scenes = []scene{
	{
		name:  "health",
		from:  2 * time.Second,
		until: 12 * time.Second,
	},
	{
		name: "split_4_4",
		steps: []step{
			{
				At:   2 * time.Second,
				Op:   "split",
				Args: []string{"a", "b", "c", "d"},
				For:  time.Minute,
			},
		},
		from:  4 * time.Second,
		until: 14 * time.Second,
	},
	{
		name: "split_1_7",
		steps: []step{
			{
				At:   2 * time.Second,
				Op:   "split",
				Args: []string{"a"},
				For:  time.Minute,
			},
		},
		from:  4 * time.Second,
		until: 14 * time.Second,
	},
	{
		name:  "kill_1",
		steps: []step{{At: 2 * time.Second, Op: "kill", Args: []string{"c"}}},
		from:  2 * time.Second,
		until: 12 * time.Second,
	},
	{
		name:  "flap_1",
		steps: flaps("c"),
		from:  2 * time.Second,
		until: 12 * time.Second,
	},
}

// flaps cuts a VM off for half a second in every second.
func flaps(vm string) []step {
	var steps []step
	for at := 2 * time.Second; at < 12*time.Second; at += time.Second {
		steps = append(steps, step{
			At:   at,
			Op:   "split",
			Args: []string{vm},
			For:  500 * time.Millisecond,
		})
	}
	return steps
}

const (
	measuredVMs        = 8
	measuredWorkspaces = 40
)

// demand offers each workspace's calls by skew: a part of them at one VM
// chosen by the caller's habit, the rest evenly. Under the share policy a VM
// that is not the owner forwards to the one that its view names.
func (n *network) demand(seed int, ld load) {
	perTick := n.terms.RequestsPerSecond * ld.overload * tickEvery.Seconds()
	carry := make(map[string]float64)
	n.offered = func(p *process, w string) int {
		part := (1 - ld.skew) / measuredVMs
		if int(entry.Hash(fmt.Sprint(seed, w))%measuredVMs) == slices.IndexFunc(n.processes, func(q *process) bool { return q == p }) {
			part += ld.skew
		}
		key := p.vm.ID + w
		carry[key] += perTick * part
		calls := int(carry[key])
		carry[key] -= float64(calls)
		return calls
	}
}

// target is the VM that admits a call which arrived at p.
func (n *network) target(p *process, w string) *process {
	if n.policy != limit.PolicyShare {
		return p
	}
	owner, ok := p.view.Owner(w)
	if !ok || owner.ID == p.vm.ID {
		return p
	}
	q := n.process(owner.ID)
	if _, open := n.way(p, q); !open || q.dead || n.now < q.thawsAt {
		return p
	}
	return q
}

// way is how one measured fleet admits.
type way struct {
	name    string
	variant variant
	policy  string
	leases  bool
}

var ways = []way{
	{
		name:    "share",
		variant: asBuilt,
		policy:  limit.PolicyShare,
	},
	{
		name:    "share_by_leases",
		variant: asBuilt,
		policy:  limit.PolicyShare,
		leases:  true,
	},
	{
		name:    "share_one_view",
		variant: oneView,
		policy:  limit.PolicyShare,
	},
	{
		name:    "static_split",
		variant: asBuilt,
		policy:  limit.PolicyStaticSplit,
	},
	{
		name:    "local_bucket",
		variant: asBuilt,
		policy:  limit.PolicyLocalBucket,
	},
}

// load is what callers ask for, over the contract, and the part of it that
// arrives at one VM.
type load struct {
	name     string
	overload float64
	skew     float64
}

var loads = []load{
	{
		name:     "skewed",
		overload: 1.2,
		skew:     0.8,
	},
	{
		name:     "flood",
		overload: 10,
	},
}

// usable returns the calls admitted over the contract: the mean of all
// workspaces, and the one with the most.
func usable(w way, sc scene, ld load, seed int) (mean, most float64) {
	n := newNetwork(w.variant, measuredVMs)
	n.policy = w.policy
	n.leases = w.leases
	for _, p := range n.processes {
		p.ledger = limit.New(limit.Options{Policy: w.policy})
	}
	n.names = n.names[:0]
	for i := range measuredWorkspaces {
		n.names = append(n.names, fmt.Sprintf("ws-%d-%d", seed, i))
	}
	n.demand(seed, ld)
	schedule{VMs: measuredVMs, Steps: sc.steps}.apply(n)
	counts := make(map[string]float64)
	n.admitted = func(_ *process, w string, at time.Duration) {
		if at >= sc.from {
			counts[w]++
		}
	}
	n.run(sc.until)
	contract := n.terms.RequestsPerSecond * (sc.until - sc.from).Seconds()
	for _, c := range counts {
		mean += c / contract / measuredWorkspaces
		most = max(most, c/contract)
	}
	return mean, most
}

// BenchmarkUsableShare prints the part of the contract that callers get: of all
// workspaces on average the least, median and most of five seeds, and the most
// of any one workspace. Times mean nothing; the terms are those of the fake fleet.
func BenchmarkUsableShare(b *testing.B) {
	for _, ld := range loads {
		for _, sc := range scenes {
			for _, w := range ways {
				b.Run(fmt.Sprintf("%s/%s/%s", ld.name, sc.name, w.name), func(b *testing.B) {
					measure(b, w, sc, ld)
				})
			}
		}
	}
}

func measure(b *testing.B, w way, sc scene, ld load) {
	var means, mosts []float64
	for seed := range 5 {
		mean, most := usable(w, sc, ld, seed)
		means = append(means, mean)
		mosts = append(mosts, most)
	}
	slices.Sort(means)
	slices.Sort(mosts)
	b.ReportMetric(means[0], "least")
	b.ReportMetric(means[2], "median")
	b.ReportMetric(means[4], "most")
	b.ReportMetric(mosts[4], "most_of_one")
	b.ReportMetric(0, "ns/op")
}

// TestUsableShareInHealth holds the decision to its target under skewed entry.
func TestUsableShareInHealth(t *testing.T) {
	for _, w := range ways[:2] {
		mean, most := usable(w, scenes[0], loads[0], 1)
		t.Logf("%s: %.3f on average, %.3f at most", w.name, mean, most)
		if mean < 0.95 || most > 1.05 {
			t.Errorf("%s: callers get %.3f of the contract on average and %.3f at most", w.name, mean, most)
		}
	}
}
