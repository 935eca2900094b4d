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

// cutplatform LIST cuts VMs off from the platform until heal.
func cutPlatform(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "cutplatform LIST")
	w.rig.PartitionPlatform(w.find(ts, args[0]))
}

// seeds LIST SEEDS sets the seeds that VMs use at their next start.
func setSeeds(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "seeds LIST SEEDS")
	for _, vm := range w.find(ts, args[0]) {
		vm.SetSeeds(w.find(ts, args[1]))
	}
}

// bounded LOADS since=MARK rate=N burst=N says by over=yes|no whether ended
// loads together had more calls done since the mark than the limit's rate and
// its burst allow.
func bounded(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 4, "bounded LOADS since=MARK rate=N burst=N")
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

// respawn LIST starts VMs that have ended, and does not wait until they serve.
func respawn(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "respawn LIST")
	for _, vm := range w.find(ts, args[0]) {
		ts.Check(w.rig.Restart(vm))
	}
}

// watchers REGION sets WATCHERS to the VMs of a region of one data centre that
// watch the platform when all are in reach, and REST to the others.
func watchers(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 1, "watchers REGION")
	var vms []fleet.VM
	for _, vm := range w.rig.VMsOf(args[0]) {
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
