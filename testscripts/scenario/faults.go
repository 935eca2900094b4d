package scenario

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

// eachVM makes a command that does the same to each VM named.
func eachVM(do func(*rig.VM)) command {
	return func(w *world, ts *testscript.TestScript, args []string) {
		need(ts, args, 1, "COMMAND LIST")
		for _, vm := range w.find(ts, args[0]) {
			do(vm)
		}
	}
}

// shutdown LIST stops VMs gracefully, all at once, and fails if one ends in error.
func shutdown(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "shutdown LIST")
	var wg sync.WaitGroup
	errs := make(chan error, len(w.rig.VMs))
	for _, vm := range w.find(ts, args[0]) {
		wg.Go(func() { errs <- vm.Stop() })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		ts.Check(err)
	}
}

// restart LIST starts VMs that have ended, under their old addresses.
func restart(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "restart LIST")
	for _, vm := range w.find(ts, args[0]) {
		ts.Check(w.rig.Restart(vm))
	}
	ts.Check(w.rig.AwaitConverged(settleWithin))
}

// rekey VM SECRET starts a VM that has ended with another peer key.
func rekey(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "rekey VM SECRET")
	ts.Check(w.rig.RestartWith(w.find(ts, args[0])[0], func(s *settings.Settings) {
		s.PeerKey = args[1]
	}))
}

// roll stops and restarts every VM, one after the other.
func roll(w *world, ts *testscript.TestScript, _ []string) {
	for _, vm := range w.rig.VMs {
		ts.Check(vm.Stop())
		ts.Check(w.rig.Restart(vm))
		ts.Check(w.rig.AwaitConverged(settleWithin))
	}
}

// cut LIST LIST cuts the links between two groups, both ways.
func cut(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "cut LIST LIST")
	w.rig.Partition(w.find(ts, args[0]), w.find(ts, args[1]))
}

// cutoneway LIST LIST cuts the links by which the first group asks the second.
func cutOneWay(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "cutoneway LIST LIST")
	w.rig.PartitionOneWay(w.find(ts, args[0]), w.find(ts, args[1]))
}

// heal ends every cut and waits until all VMs reach each other.
func heal(w *world, ts *testscript.TestScript, _ []string) {
	w.rig.HealPartitions()
	ts.Check(w.rig.AwaitConverged(settleWithin))
}

// platform {"outage":true} sets the platform's switches.
func switchPlatform(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "platform JSON")
	ts.Check(w.rig.Put("/admin/switches", json.RawMessage(strings.Join(args, " "))))
}

// publish KEY FILE publishes a document and sets REVISION and BEFORE.
func publish(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "publish KEY FILE")
	data, err := os.ReadFile(file(ts, args[1]))
	ts.Check(err)
	revision, err := w.rig.Publish(args[0], data)
	ts.Check(err)
	setRevision(ts, revision)
}

// inforce KEY REVISION [refused] [vm=LIST] [within=D] waits until the VMs hold
// a revision in force, or have refused it.
func inForce(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "inforce KEY REVISION|rising [refused] [vm=LIST] [within=D]")
	vms := w.rig.VMs
	if list := option(args, "vm", ""); list != "" {
		vms = w.find(ts, list)
	}
	refused := len(args) > 2 && args[2] == "refused"
	began := time.Now()
	err := rig.Await(duration(ts, args, "within", "30s"), "document "+args[0]+" everywhere", func() bool {
		for _, vm := range vms {
			if vm.Alive() && !w.holds(vm, args[0], args[1], refused) {
				return false
			}
		}
		return true
	})
	ts.Check(err)
	ts.Logf("everywhere after %s", time.Since(began).Round(time.Millisecond))
}

func (w *world) holds(vm *rig.VM, key, reason string, refused bool) bool {
	s, err := w.rig.Status(vm)
	if err != nil {
		return false
	}
	for _, d := range s.Documents {
		if d.Key != key {
			continue
		}
		if refused {
			return d.Refused > d.InForce && strings.Contains(d.Reason, reason)
		}
		return d.InForce >= revisionOf(reason)
	}
	return false
}

func revisionOf(text string) uint64 {
	var n uint64
	_ = json.Unmarshal([]byte(text), &n)
	return n
}

// leaving NAME marks a VM or an endpoint as leaving in the published list.
func leaving(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "leaving NAME")
	found := false
	for _, e := range w.rig.Endpoints {
		if e.Fleet.ID == args[0] {
			e.Fleet.State = fleet.StateLeaving
			found = true
		}
	}
	if vm := w.rig.VM(args[0]); vm != nil {
		vm.Fleet.State = fleet.StateLeaving
		found = true
	}
	if !found {
		ts.Fatalf("nothing named %q", args[0])
	}
	ts.Check(w.rig.PublishList())
}

// fault ENDPOINT|TARGET JSON sets the faults of endpoints.
func fault(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "fault ENDPOINT|TARGET JSON")
	found := false
	for _, e := range w.rig.Endpoints {
		if e.Fleet.ID != args[0] && e.Fleet.Serves() != args[0] {
			continue
		}
		found = true
		ts.Check(w.rig.PutTo(e.Fleet.Addr, "/admin/faults", []byte(strings.Join(args[1:], " "))))
	}
	if !found {
		ts.Fatalf("no endpoint %q", args[0])
	}
}

// pause DURATION lets time pass.
func pause(_ *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "pause DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// reached VM LIST yes|no waits until a VM sees others as reachable or not.
func reached(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 3, "reached VM LIST yes|no")
	vm := w.find(ts, args[0])[0]
	want := args[2] == "yes"
	err := rig.Await(settleWithin, strings.Join(args, " "), func() bool {
		s, err := w.rig.Status(vm)
		if err != nil {
			return false
		}
		for _, other := range w.find(ts, args[1]) {
			if !sees(s, other.Fleet.ID, want) {
				return false
			}
		}
		return true
	})
	ts.Check(err)
}

func sees(s operator.Status, id string, want bool) bool {
	for _, m := range s.View.Region {
		if m.VM == id {
			return m.Reachable == want
		}
	}
	return !want
}
