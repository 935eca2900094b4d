package limit_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// step is one fault of a schedule, written as
//
//	at 1200ms cut a b for 800ms
type step struct {
	At   time.Duration
	Op   string
	Args []string
	For  time.Duration
}

// schedule configures a run of the simulated fleet.
type schedule struct {
	VMs   int
	Lag   time.Duration
	Until time.Duration
	Steps []step
}

// String formats the schedule in the syntax that parseSchedule accepts.
func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "vms %d\nlag %v\nuntil %v\n", s.VMs, s.Lag, s.Until)
	for _, st := range s.Steps {
		fmt.Fprintf(&b, "at %v %s", st.At, st.Op)
		for _, a := range st.Args {
			fmt.Fprintf(&b, " %s", a)
		}
		if st.For > 0 {
			fmt.Fprintf(&b, " for %v", st.For)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func parseSchedule(text string) (schedule, error) {
	var s schedule
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		var err error
		switch words[0] {
		case "vms":
			s.VMs, err = strconv.Atoi(words[1])
		case "lag":
			s.Lag, err = time.ParseDuration(words[1])
		case "until":
			s.Until, err = time.ParseDuration(words[1])
		case "at":
			err = s.parseStep(words[1:])
		default:
			err = fmt.Errorf("unknown line %q", line)
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *schedule) parseStep(words []string) error {
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	st := step{
		At:   at,
		Op:   words[1],
		Args: words[2:],
	}
	if i := slices.Index(words, "for"); i >= 0 {
		st.Args = words[2:i]
		if st.For, err = time.ParseDuration(words[i+1]); err != nil {
			return err
		}
	}
	s.Steps = append(s.Steps, st)
	return nil
}

// staleListBound returns the number of VMs that are live in any list, divided by the
// smallest number in one list.
func (s schedule) staleListBound() float64 {
	ever := make(map[string]bool)
	for i := range s.VMs {
		ever[vmName(i)] = true
	}
	fewest := s.VMs
	for _, st := range s.Steps {
		if st.Op != "list" {
			continue
		}
		live := slices.DeleteFunc(slices.Clone(st.Args), func(name string) bool { return strings.HasSuffix(name, "-") })
		for _, name := range live {
			ever[name] = true
		}
		fewest = min(fewest, max(len(live), 1))
	}
	return float64(len(ever)) / float64(fewest)
}

// apply queues the schedule's steps on a network.
func (s schedule) apply(n *network) {
	n.listLag = s.Lag
	for _, st := range s.Steps {
		n.at(st.At, func() { n.inject(st) })
	}
}

// inject applies one step. Steps for unknown VMs are ignored.
func (n *network) inject(st step) {
	until := n.now + st.For
	p := n.process(st.Args[0])
	switch st.Op {
	case "cut":
		n.linkFaults = append(n.linkFaults, linkFault{from: st.Args[0], to: st.Args[1], until: until})
	case "slow":
		n.linkFaults = append(n.linkFaults, linkFault{from: st.Args[0], to: st.Args[1], until: until, delay: heartbeatInterval * 9 / 10})
	case "split":
		n.split(st.Args, until)
	case "list":
		n.publishNamed(st.Args)
	}
	if p == nil {
		return
	}
	switch st.Op {
	case "freeze":
		p.resumesAt = max(p.resumesAt, until)
	case "quiet":
		p.noTrafficUntil = max(p.noTrafficUntil, until)
	case "kill":
		p.dead = true
	case "restart":
		p.dead = true
		n.start(st.Args[0])
	case "replace":
		n.start(st.Args[0])
	case "leave":
		p.state.Leave(p.local(n.now))
		p.view = p.state.View(p.local(n.now))
	}
}

// split partitions the named VMs from all others, in both directions.
func (n *network) split(part []string, until time.Duration) {
	for _, a := range n.processes {
		for _, b := range n.processes {
			if slices.Contains(part, a.vm.ID) != slices.Contains(part, b.vm.ID) {
				n.linkFaults = append(n.linkFaults, linkFault{from: n.label(a), to: n.label(b), until: until})
			}
		}
	}
}

// publishNamed publishes a list with the named VMs; the suffix "-" marks a VM as leaving.
func (n *network) publishNamed(names []string) {
	var vms []fleet.VM
	for _, name := range names {
		vm := listedVM(strings.TrimSuffix(name, "-"))
		if strings.HasSuffix(name, "-") {
			vm.State = fleet.StateLeaving
		}
		vms = append(vms, vm)
	}
	n.publish(vms)
	for _, vm := range vms {
		if n.process(vm.ID) == nil {
			n.start(vm.ID)
		}
	}
}
