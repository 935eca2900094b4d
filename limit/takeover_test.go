package limit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
)

// gaps gives for each workspace how long in all its shares sum up to less than
// what the other VMs' shares would be, after a fault of one VM; first those that the VM owned.
func gaps(v variant, fault string, seed int) (owned, rest []time.Duration) {
	const vm = "c"
	n := newNetwork(v, measuredVMs)
	n.names = n.names[:0]
	for i := range measuredWorkspaces {
		n.names = append(n.names, fmt.Sprintf("ws-%d-%d", seed, i))
	}
	n.admitted = func(*process, string, time.Duration) {}
	// The fault comes at another point of the heartbeats for each seed.
	from := 2*time.Second + time.Duration(seed)*17*time.Millisecond
	s := schedule{VMs: measuredVMs}
	s.Steps = []step{{At: from, Op: fault, Args: []string{vm}, For: time.Second}}
	s.apply(n)
	lost := make(map[string]time.Duration)
	var sample func()
	sample = func() {
		for _, w := range n.names {
			if n.shares(w) < 1-1.5/measuredVMs {
				lost[w] += tickEvery / 2
			}
		}
		n.at(n.now+tickEvery/2, sample)
	}
	n.at(from, sample)
	n.run(from + 5*time.Second)
	var ids []string
	for i := range measuredVMs {
		ids = append(ids, vmName(i))
	}
	for _, w := range n.names {
		if entry.Owner(w, ids) == vm {
			owned = append(owned, lost[w])
		} else {
			rest = append(rest, lost[w])
		}
	}
	return owned, rest
}

// BenchmarkTakeover reports for how many heartbeats the workspaces of a VM,
// and those of all others, lack more than one VM's share after a fault of it,
// and the most of any one workspace. Its time means nothing.
func BenchmarkTakeover(b *testing.B) {
	for _, v := range []variant{asBuilt, oneView} {
		for _, fault := range []string{"kill", "leave", "restart", "freeze", "split"} {
			b.Run(fmt.Sprintf("%s/%s", fault, v), func(b *testing.B) {
				var owned, rest []time.Duration
				for seed := range 5 {
					o, r := gaps(v, fault, seed)
					owned = append(owned, o...)
					rest = append(rest, r...)
				}
				slices.Sort(owned)
				slices.Sort(rest)
				b.ReportMetric(heartbeats(owned[len(owned)/2]), "owned_median")
				b.ReportMetric(heartbeats(slices.Max(owned)), "owned_most")
				b.ReportMetric(heartbeats(rest[len(rest)/2]), "rest_median")
				b.ReportMetric(heartbeats(slices.Max(rest)), "rest_most")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func heartbeats(d time.Duration) float64 {
	return d.Seconds() / beatEvery.Seconds()
}
