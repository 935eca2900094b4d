package scenario

import (
	"context"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/standin/caller"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

// told TEXT vm=LIST prints where a text appears in the log, metrics, status,
// timeline or merged timeline of VMs.
func findExposed(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "told TEXT vm=LIST")
	n := 0
	for _, vm := range w.parseVMs(ts, option(args, "vm", "")) {
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
// rejected with one of the named result codes.
func refusedBy(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 3, "refusedby WORKSPACE CODES vm=LIST")
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	codes := strings.Split(args[1], ",")
	c := w.newCaller(ts, args[0], append(args, "once"))
	ts.Check(rig.Await(awaitTimeout, "chat refused with "+args[1], func() bool {
		r := c.Chat(ctx, caller.Chat{
			Model:     w.model(),
			Message:   "marker=" + option(args, "mark", "m") + " hello",
			MaxTokens: 1,
		})
		return slices.Contains(codes, r.Code.String())
	}))
}
