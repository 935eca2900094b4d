package scenario

import (
	"context"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/standin/caller"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
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

// refusedby WORKSPACE CODES vm=LIST waits until a chat of the workspace is
// refused with one of the codes, given by name.
func refusedBy(w *world, ts *testscript.TestScript, args []string) {
	need(ts, args, 3, "refusedby WORKSPACE CODES vm=LIST")
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	codes := strings.Split(args[1], ",")
	c := w.newCaller(ts, args[0], append(args, "once"))
	ts.Check(rig.Await(settleWithin, "chat refused with "+args[1], func() bool {
		r := c.Chat(ctx, caller.Chat{
			Model:     w.model(),
			Message:   "marker=" + option(args, "mark", "m") + " hello",
			MaxTokens: 1,
		})
		return slices.Contains(codes, r.Code.String())
	}))
}
