package scenario

import (
	"net/url"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// events [workspace=W] [request=R] [kinds=LIST] prints the merged timeline of the
// running VMs.
func events(w *deployment, ts *testscript.TestScript, args []string) {
	query := url.Values{
		"workspace": {option(args, "workspace", "")},
		"request":   {option(args, "request", "")},
	}
	kinds := strings.Split(option(args, "kinds", ""), ",")
	var rings [][]timeline.Event
	for _, vm := range w.rig.VMs {
		if !vm.Alive() {
			continue
		}
		t, err := rig.GetJSON[operator.Timeline](w.rig, vm.Fleet.OperatorAddr, "/v1/timeline?"+query.Encode())
		ts.Check(err)
		rings = append(rings, t.Events)
	}
	for _, e := range timeline.Merge(rings...) {
		if kinds[0] != "" && !slices.Contains(kinds, e.Kind) {
			continue
		}
		printf(ts, "%s %s %s %s %s %d %s\n", e.Stamp.Time().UTC().Format("15:04:05.000"), e.VM, e.Kind, e.Peer, e.Endpoint, e.Code, e.Detail)
	}
}

// logs VM prints the last log lines of a VM, also after it has exited.
func logs(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "logs VM")
	for _, vm := range w.parseVMs(ts, args[0]) {
		printf(ts, "%s\n", strings.Join(vm.Log(), "\n"))
	}
}
