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

// eachVM returns a command that applies a function to each VM of a list.
func eachVM(do func(*rig.VM)) command {
	return func(w *deployment, ts *testscript.TestScript, args []string) {
		requireArgs(ts, args, 1, "COMMAND LIST")
		for _, vm := range w.parseVMs(ts, args[0]) {
			do(vm)
		}
	}
}

// shutdown LIST stops VMs gracefully and concurrently, and fails if one exits with
// an error.
func shutdown(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "shutdown LIST")
	var wg sync.WaitGroup
	errs := make(chan error, len(w.rig.VMs))
	for _, vm := range w.parseVMs(ts, args[0]) {
		wg.Go(func() { errs <- vm.Stop() })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		ts.Check(err)
	}
}

// restart LIST starts exited VMs with the same addresses and waits until all VMs
// have converged.
func restart(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "restart LIST")
	for _, vm := range w.parseVMs(ts, args[0]) {
		ts.Check(w.rig.Restart(vm))
	}
	ts.Check(w.rig.AwaitConverged(awaitTimeout))
}

// rekey VM SECRET starts an exited VM with another peer key.
func rekey(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "rekey VM SECRET")
	ts.Check(w.rig.RestartWith(w.parseVMs(ts, args[0])[0], func(s *settings.Settings) {
		s.PeerKey = args[1]
	}))
}

// roll performs a rolling restart of all VMs.
func roll(w *deployment, ts *testscript.TestScript, _ []string) {
	for _, vm := range w.rig.VMs {
		ts.Check(vm.Stop())
		ts.Check(w.rig.Restart(vm))
		ts.Check(w.rig.AwaitConverged(awaitTimeout))
	}
}

// cut LIST LIST partitions two groups of VMs from each other.
func cut(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "cut LIST LIST")
	w.rig.Partition(w.parseVMs(ts, args[0]), w.parseVMs(ts, args[1]))
}

// cutoneway LIST LIST blocks connections from the first group to the second.
func cutOneWay(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "cutoneway LIST LIST")
	w.rig.PartitionOneWay(w.parseVMs(ts, args[0]), w.parseVMs(ts, args[1]))
}

// heal ends every partition and waits until all VMs have converged.
func heal(w *deployment, ts *testscript.TestScript, _ []string) {
	w.rig.HealPartitions()
	ts.Check(w.rig.AwaitConverged(awaitTimeout))
}

// platform JSON sets the fault switches of the platform, such as {"outage":true}.
func switchPlatform(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "platform JSON")
	ts.Check(w.rig.Put("/admin/switches", json.RawMessage(strings.Join(args, " "))))
}

// publish KEY FILE publishes a document and sets REVISION and BEFORE.
func publish(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "publish KEY FILE")
	data, err := os.ReadFile(scriptFile(ts, args[1]))
	ts.Check(err)
	revision, err := w.rig.Publish(args[0], data)
	ts.Check(err)
	setRevision(ts, revision)
}

// inforce KEY REVISION|REASON [refused] [vm=LIST] [within=D] waits until the
// running VMs have a revision in force, or have refused one for a reason.
func inForce(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "inforce KEY REVISION|rising [refused] [vm=LIST] [within=D]")
	vms := w.rig.VMs
	if list := option(args, "vm", ""); list != "" {
		vms = w.parseVMs(ts, list)
	}
	refused := len(args) > 2 && args[2] == "refused"
	began := time.Now()
	err := rig.Await(duration(ts, args, "within", "30s"), "document "+args[0]+" on every VM", func() bool {
		for _, vm := range vms {
			if vm.Alive() && !w.hasRevision(vm, args[0], args[1], refused) {
				return false
			}
		}
		return true
	})
	ts.Check(err)
	ts.Logf("everywhere after %s", time.Since(began).Round(time.Millisecond))
}

func (w *deployment) hasRevision(vm *rig.VM, key, reason string, refused bool) bool {
	s, err := w.rig.Status(vm)
	if err != nil {
		return false
	}
	for _, d := range s.Documents {
		if d.Key != key {
			continue
		}
		if refused {
			return d.Rejected > d.Active && strings.Contains(d.Reason, reason)
		}
		return d.Active >= revisionOf(reason)
	}
	return false
}

func revisionOf(text string) uint64 {
	var n uint64
	_ = json.Unmarshal([]byte(text), &n)
	return n
}

// leaving NAME marks a VM or an endpoint as leaving in the published fleet list.
func leaving(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "leaving NAME")
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
		ts.Fatalf("no VM or endpoint %q", args[0])
	}
	ts.Check(w.rig.PublishFleetList())
}

// fault ENDPOINT|TARGET JSON sets the injected faults of an endpoint, or of all
// endpoints that serve a model or service.
func fault(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "fault ENDPOINT|TARGET JSON")
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

// pause DURATION sleeps.
func pause(_ *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "pause DURATION")
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// reached VM LIST yes|no waits until a VM considers others reachable or not.
func reached(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 3, "reached VM LIST yes|no")
	vm := w.parseVMs(ts, args[0])[0]
	want := args[2] == "yes"
	err := rig.Await(awaitTimeout, strings.Join(args, " "), func() bool {
		s, err := w.rig.Status(vm)
		if err != nil {
			return false
		}
		for _, other := range w.parseVMs(ts, args[1]) {
			if !reachabilityIs(s, other.Fleet.ID, want) {
				return false
			}
		}
		return true
	})
	ts.Check(err)
}

func reachabilityIs(s operator.Status, id string, want bool) bool {
	for _, m := range s.View.Region {
		if m.VM == id {
			return m.Reachable == want
		}
	}
	return !want
}
