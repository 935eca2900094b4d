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
	// overload is the demand over the contract.
	overload = 1.2
)

// demand offers each workspace's calls by skew: a part of them at one VM
// chosen by the caller's habit, the rest evenly. Under the share policy a VM
// that is not the owner forwards to the one that its view names.
func (n *network) demand(seed int, skew float64) {
	perTick := n.terms.RequestsPerSecond * overload * tickEvery.Seconds()
	carry := make(map[string]float64)
	n.offered = func(p *process, w string) int {
		part := (1 - skew) / measuredVMs
		if int(entry.Hash(fmt.Sprint(seed, w))%measuredVMs) == slices.IndexFunc(n.processes, func(q *process) bool { return q == p }) {
			part += skew
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

// usable gives the calls admitted over the contract: the mean of all
// workspaces, and the one with the most.
func usable(v variant, policy string, sc scene, seed int, skew float64) (mean, most float64) {
	n := newNetwork(v, measuredVMs)
	n.policy = policy
	for _, p := range n.processes {
		p.ledger = limit.New(limit.Options{Policy: policy})
	}
	n.names = n.names[:0]
	for i := range measuredWorkspaces {
		n.names = append(n.names, fmt.Sprintf("ws-%d-%d", seed, i))
	}
	n.demand(seed, skew)
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

// BenchmarkUsableShare prints the part of the contract that callers get when
// they ask for 1.2 times the contract and 0.8 of the calls arrive at one VM.
// Times mean nothing; the terms are those of the fake fleet.
func BenchmarkUsableShare(b *testing.B) {
	for _, sc := range scenes {
		for _, c := range []struct {
			variant variant
			policy  string
		}{
			{variant: asBuilt, policy: limit.PolicyShare},
			{variant: oneView, policy: limit.PolicyShare},
			{variant: asBuilt, policy: limit.PolicyStaticSplit},
			{variant: asBuilt, policy: limit.PolicyLocalBucket},
		} {
			b.Run(fmt.Sprintf("%s/%s/%s", sc.name, c.policy, c.variant), func(b *testing.B) {
				var means, mosts []float64
				for seed := range 5 {
					mean, most := usable(c.variant, c.policy, sc, seed, 0.8)
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
			})
		}
	}
}

// TestUsableShareInHealth holds the decision to its target under skewed entry.
func TestUsableShareInHealth(t *testing.T) {
	mean, most := usable(asBuilt, limit.PolicyShare, scenes[0], 1, 0.8)
	if mean < 0.95 || most > 1.05 {
		t.Fatalf("callers get %.3f of the contract on average and %.3f at most", mean, most)
	}
}
