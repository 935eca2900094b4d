package limit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
)

// underservedTime returns, for each workspace, how long its shares lack more than one VM's
// share after a fault of one VM. owned are the workspaces of that VM.
func underservedTime(v variant, fault string, seed int) (owned, rest []time.Duration) {
	const vm = "c"
	n := newNetwork(v, measuredVMs)
	n.workspaces = n.workspaces[:0]
	for i := range measuredWorkspaces {
		n.workspaces = append(n.workspaces, fmt.Sprintf("ws-%d-%d", seed, i))
	}
	n.admitted = func(*process, string, time.Duration) {}
	// Each seed injects the fault at a different phase of the heartbeats.
	from := 2*time.Second + time.Duration(seed)*17*time.Millisecond
	s := schedule{VMs: measuredVMs}
	s.Steps = []step{{At: from, Op: fault, Args: []string{vm}, For: time.Second}}
	s.apply(n)
	lost := make(map[string]time.Duration)
	var sample func()
	sample = func() {
		for _, w := range n.workspaces {
			if n.totalShare(w) < 1-1.5/measuredVMs {
				lost[w] += tickInterval / 2
			}
		}
		n.at(n.now+tickInterval/2, sample)
	}
	n.at(from, sample)
	n.run(from + 5*time.Second)
	var ids []string
	for i := range measuredVMs {
		ids = append(ids, vmName(i))
	}
	for _, w := range n.workspaces {
		if entry.Owner(w, ids) == vm {
			owned = append(owned, lost[w])
		} else {
			rest = append(rest, lost[w])
		}
	}
	return owned, rest
}

// BenchmarkTakeover reports how many heartbeats the workspaces lack more than one VM's
// share after a fault of a VM: the median and maximum for the workspaces it owned and for
// all others. Its time is meaningless.
func BenchmarkTakeover(b *testing.B) {
	for _, v := range []variant{asBuilt, oneView} {
		for _, fault := range []string{"kill", "leave", "restart", "freeze", "split"} {
			b.Run(fmt.Sprintf("%s/%s", fault, v), func(b *testing.B) {
				var owned, rest []time.Duration
				for seed := range 5 {
					o, r := underservedTime(v, fault, seed)
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
	return d.Seconds() / heartbeatInterval.Seconds()
}
