package scenario

import (
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// told TEXT vm=LIST prints how many VMs tell a text to operators: in their
// log, their metrics, their status, their time line, or the time line that they
// merge from all VMs.
func tellers(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 2, "told TEXT vm=LIST")
	n := 0
	for _, vm := range w.find(ts, option(args, "vm", "")) {
		for _, path := range []string{"/metrics", "/v1/status", "/v1/timeline", "/v1/timeline?merge=true"} {
			_, body, err := w.rig.Get(vm.Fleet.OperatorAddr, path)
			ts.Check(err)
			if strings.Contains(string(body), args[0]) {
				n++
				printf(ts, "told by %s at %s\n", vm.Fleet.ID, path)
			}
		}
		if strings.Contains(strings.Join(vm.Log(), "\n"), args[0]) {
			n++
			printf(ts, "told by %s in its log\n", vm.Fleet.ID)
		}
	}
	printf(ts, "tellers=%d\n", n)
}
