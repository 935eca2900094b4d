package limit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/limit"
)

// faultCase is a schedule of faults with the period in which admitted calls are counted.
type faultCase struct {
	name  string
	steps []step
	from  time.Duration
	until time.Duration
}

var faultCases = []faultCase{
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
		steps: flapSteps("c"),
		from:  2 * time.Second,
		until: 12 * time.Second,
	},
}

// flapSteps partitions a VM from the others for half a second in every second.
func flapSteps(vm string) []step {
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

// generateLoad sends the part ld.skew of each workspace's calls to one VM and spreads the
// rest evenly.
func (n *network) generateLoad(seed int, ld load) {
	perTick := n.terms.RequestsPerSecond * ld.overload * tickInterval.Seconds()
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

// admittingProcess returns the process that admits a call received by p. Under the share
// policy, calls are forwarded to the owner.
func (n *network) admittingProcess(p *process, w string) *process {
	if n.policy != limit.PolicyShare {
		return p
	}
	owner, ok := p.view.Owner(w)
	if !ok || owner.ID == p.vm.ID {
		return p
	}
	q := n.process(owner.ID)
	if _, open := n.link(p, q); !open || q.dead || n.now < q.resumesAt {
		return p
	}
	return q
}

// admissionMode is a configuration to compare.
type admissionMode struct {
	name    string
	variant variant
	policy  string
	leases  bool
}

var admissionModes = []admissionMode{
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

// load is the offered rate relative to the contract, and the fraction of it that arrives
// at one VM.
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

// admittedFraction returns the admitted calls relative to the contract: the mean over all
// workspaces, and the maximum.
func admittedFraction(w admissionMode, sc faultCase, ld load, seed int) (mean, most float64) {
	n := newNetwork(w.variant, measuredVMs)
	n.policy = w.policy
	n.leases = w.leases
	for _, p := range n.processes {
		p.ledger = limit.New(limit.Options{Policy: w.policy})
	}
	n.workspaces = n.workspaces[:0]
	for i := range measuredWorkspaces {
		n.workspaces = append(n.workspaces, fmt.Sprintf("ws-%d-%d", seed, i))
	}
	n.generateLoad(seed, ld)
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

// BenchmarkUsableShare reports the admitted calls relative to the contract: the minimum,
// median and maximum over five seeds of the mean over all workspaces, and the maximum of
// any workspace. Its time is meaningless.
func BenchmarkUsableShare(b *testing.B) {
	for _, ld := range loads {
		for _, sc := range faultCases {
			for _, w := range admissionModes {
				b.Run(fmt.Sprintf("%s/%s/%s", ld.name, sc.name, w.name), func(b *testing.B) {
					measure(b, w, sc, ld)
				})
			}
		}
	}
}

func measure(b *testing.B, w admissionMode, sc faultCase, ld load) {
	var means, mosts []float64
	for seed := range 5 {
		mean, most := admittedFraction(w, sc, ld, seed)
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

// TestAdmittedFractionWithoutFaults checks that nearly the whole contract is admitted, and
// no more, when most calls arrive at one VM.
func TestAdmittedFractionWithoutFaults(t *testing.T) {
	for _, w := range admissionModes[:2] {
		mean, most := admittedFraction(w, faultCases[0], loads[0], 1)
		t.Logf("%s: %.3f on average, %.3f at most", w.name, mean, most)
		if mean < 0.95 || most > 1.05 {
			t.Errorf("%s: admitted %.3f of the contract on average and %.3f at most", w.name, mean, most)
		}
	}
}
