package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// cutplatform LIST partitions VMs from the platform until heal.
func cutPlatform(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "cutplatform LIST")
	w.rig.PartitionPlatform(w.parseVMs(ts, args[0]))
}

// seeds LIST SEEDS sets the seed peers that VMs use at their next start.
func setSeeds(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "seeds LIST SEEDS")
	for _, vm := range w.parseVMs(ts, args[0]) {
		vm.SetSeeds(w.parseVMs(ts, args[1]))
	}
}

// bounded LOADS since=MARK rate=N burst=N prints over=yes if ended loads together
// completed more calls since the mark than the rate and the burst allow.
func bounded(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 4, "bounded LOADS since=MARK rate=N burst=N")
	elapsed := time.Since(w.marks[option(args, "since", "")])
	done := 0
	for name := range strings.SplitSeq(args[0], ",") {
		done += w.loads[name].counts.Done
	}
	allowed := elapsed.Seconds()*float64(number(ts, args, "rate", "1")) + float64(number(ts, args, "burst", "0"))
	over := "no"
	if float64(done) > allowed {
		over = "yes"
	}
	ts.Logf("%d calls done in %s, %s allowed", done, elapsed.Round(time.Millisecond), strconv.FormatFloat(allowed, 'f', 1, 64))
	printf(ts, "over=%s some=%t\n", over, done > 0)
}

// respawn LIST starts exited VMs without waiting until they are ready.
func respawn(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "respawn LIST")
	for _, vm := range w.parseVMs(ts, args[0]) {
		ts.Check(w.rig.Restart(vm))
	}
}

// watchers REGION sets WATCHERS to the VMs of the region that watch the platform
// while all are reachable, and REST to the others.
func watchers(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "watchers REGION")
	var vms []fleet.VM
	for _, vm := range w.rig.VMsInRegion(args[0]) {
		vms = append(vms, vm.Fleet)
	}
	watching := configuration.Watchers(vms)
	var rest []string
	for _, vm := range vms {
		if !slices.Contains(watching, vm.ID) {
			rest = append(rest, vm.ID)
		}
	}
	ts.Setenv("WATCHERS", strings.Join(watching, ","))
	ts.Setenv("REST", strings.Join(rest, ","))
}
