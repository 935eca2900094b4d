package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// maxReported bounds the workspaces in a report, and maxPassedOn those in one that is passed
	// on. With both a service takes some 230 bytes of a message, of which a VM sends four each
	// second.
	maxReported = 4
	maxPassedOn = 2
	// maxReports bounds the reports in a message, so that three services that are short of
	// capacity keep to the 3 KB/s of control traffic.
	maxReports = 6
	// reportTTL is how long a report of another VM is used.
	reportTTL = 2 * time.Second
)

// Report is what one VM knows of its demand for a service that is short of capacity.
type Report struct {
	Service string
	// VM is the VM that reported, and At is when.
	VM string
	At time.Time
	// Served is the demand served per second.
	Served float64
	// RecentServed is the same over a shorter time; zero if the VM did not report it.
	RecentServed float64
	// Demands lists the heaviest workspaces, and Rest is the demand per second of all others.
	Demands []WorkspaceDemand
	Rest    float64
}

// WorkspaceDemand is the demand of a workspace on one VM.
type WorkspaceDemand struct {
	Workspace string
	// Limit is the published limit, which the receiver looks up.
	Limit     route.Limit
	PerSecond float64
	// Recent is the demand per second over a shorter time; zero if the VM did not report it.
	Recent float64
}

func (r *Report) total() float64 {
	total := r.Rest
	for _, d := range r.Demands {
		total += d.PerSecond
	}
	return total
}

// excess is the demand that was not served.
func (r *Report) excess() float64 {
	return r.total() - r.Served
}

// passedOn returns the report with fewer workspaces listed.
func (r *Report) passedOn() Report {
	out := *r
	out.Demands = r.Demands[:min(len(r.Demands), maxPassedOn)]
	for _, d := range r.Demands[len(out.Demands):] {
		out.Rest += d.PerSecond
	}
	return out
}

// peerReport is the latest report of another VM. heardAt is when that VM itself last sent one
// here, and zero if others only passed it on.
type peerReport struct {
	Report
	heardAt time.Time
}

// Reports returns this VM's reports on the services that are short of capacity, and for each
// of these the report of the VM with the largest excess. In a large region a VM hears few
// others within the time that a report is used, and this one matters most.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for name, s := range t.services {
		// Sums of a service without calls must not grow old beyond the range of the decay.
		s.table.weight(now)
		s.expirePeers(now)
		if s.isShort(now) {
			out = append(out, s.report(name, now))
		}
		if heaviest, ok := s.peers[s.heaviestPeer()]; ok {
			out = append(out, heaviest.passedOn())
		}
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Compare(b.excess(), a.excess())
	})
	return out[:min(maxReports, len(out))]
}

func (s *service) report(name string, now time.Time) Report {
	rate := func(sum float64) float64 { return s.table.decay.perSecond(sum, now) }
	out := Report{
		Service:      name,
		At:           now,
		Served:       rate(s.table.served),
		RecentServed: s.table.recent.perSecond(s.table.recentServed, now),
	}
	listed := 0.0
	for _, e := range s.table.heaviest(leastPart, maxReported) {
		listed += e.own()
		out.Demands = append(out.Demands, WorkspaceDemand{
			Workspace: e.workspace,
			Limit:     e.limit,
			PerSecond: rate(e.own()),
			Recent:    s.table.recent.perSecond(e.recent, now),
		})
	}
	out.Rest = rate(max(s.table.total-listed, 0))
	return out
}

// Receive takes the reports that another VM of the region sent: its own, without a VM, and
// those that it passes on. Reports on services without calls here are ignored.
func (t *Tracker) Receive(sender string, reports []Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		s := t.services[r.Service]
		if s == nil || r.VM == t.vm || now.Sub(r.At) >= reportTTL {
			continue
		}
		heardAt := s.peers[r.VM].heardAt
		if r.VM == "" {
			r.VM = sender
			heardAt = r.At
		}
		if !r.At.After(s.peers[r.VM].At) {
			continue
		}
		r.Demands = r.Demands[:min(len(r.Demands), maxReported)]
		s.peers[r.VM] = peerReport{
			Report:  r,
			heardAt: heardAt,
		}
	}
}

// peersShort reports whether another VM sees that the service is short of capacity. A VM on
// which no call yields may see none, since the calls of other VMs make way for its own, and
// one that has just started has served too few.
func (s *service) peersShort(now time.Time) bool {
	for _, p := range s.peers {
		if now.Sub(p.At) < reportTTL {
			return true
		}
	}
	return false
}

// heaviestPeer returns the VM with the largest excess, or an empty name.
func (s *service) heaviestPeer() string {
	heaviest, excess := "", 0.0
	for vm, p := range s.peers {
		if e := p.excess(); heaviest == "" || e > excess || (e == excess && vm < heaviest) {
			heaviest, excess = vm, e
		}
	}
	return heaviest
}

// peerWeights returns how many VMs each report stands for. That of the heaviest VM stands for
// itself. The other VMs of the region are taken to be like those that sent reports here, which
// exchanges choose at random.
func (s *service) peerWeights(regionVMs int, now time.Time) map[string]float64 {
	out := make(map[string]float64, len(s.peers))
	heaviest := s.heaviestPeer()
	for vm, p := range s.peers {
		if vm != heaviest && now.Sub(p.heardAt) < reportTTL {
			out[vm] = 1
		}
	}
	others := max(regionVMs-1, len(s.peers)) - 1
	for vm := range out {
		out[vm] = float64(others) / float64(len(out))
	}
	if heaviest != "" {
		out[heaviest] = 1
	}
	return out
}

// recentWeights is like the given weights for recent demands: the VMs that are not heard are taken
// to be like those that were heard last.
func (s *service) recentWeights(weights map[string]float64, now time.Time) map[string]float64 {
	heaviest := s.heaviestPeer()
	out := make(map[string]float64, len(weights))
	sum, others := 0.0, 0.0
	for vm, weight := range weights {
		if vm == heaviest {
			out[vm] = 1
			continue
		}
		out[vm] = math.Exp(-now.Sub(s.peers[vm].At).Seconds() / recentWindow.Seconds())
		sum += out[vm]
		others += weight
	}
	for vm := range out {
		if vm != heaviest {
			out[vm] *= others / sum
		}
	}
	return out
}

// expirePeers drops the reports that are too old.
func (s *service) expirePeers(now time.Time) {
	for vm, p := range s.peers {
		if now.Sub(p.At) >= reportTTL {
			delete(s.peers, vm)
		}
	}
}
