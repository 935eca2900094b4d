package scenario

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

// defaultQuietPeriod is the time without new work after which an endpoint counts
// as drained.
const defaultQuietPeriod = "4s"

// totalRunsResponse holds a stand-in's number of runs of all operations.
type totalRunsResponse struct {
	Total int `json:"total"`
}

// mark NAME records the current time under a name, for since=NAME.
func mark(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "mark NAME")
	w.marks[args[0]] = time.Now()
}

// departed ENDPOINT since=NAME [within=D] [quiet=D] waits until an endpoint has
// received no new work for the quiet period. It prints late=yes if the last work
// came more than within after the mark.
func awaitDeparted(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "departed ENDPOINT since=NAME [within=D] [quiet=D]")
	since, ok := w.marks[option(args, "since", "")]
	if !ok {
		ts.Fatalf("no mark %q", option(args, "since", ""))
	}
	e := w.endpoint(ts, args[0])
	total := -1
	last := since
	runs := 0
	var others map[string]int
	quiet := duration(ts, args, "quiet", defaultQuietPeriod)
	err := rig.Await(awaitTimeout, args[0]+" gets no new work", func() bool {
		body, err := rig.GetJSON[totalRunsResponse](w.rig, e.Fleet.Addr, "/admin/runs")
		if err == nil && body.Total != total {
			runs += max(body.Total-total, 0)
			if total < 0 {
				runs = 0
			}
			total = body.Total
			last = time.Now()
			others = w.runsOfOthers(e)
		}
		return time.Since(last) >= quiet
	})
	ts.Check(err)
	for id, runs := range w.runsOfOthers(e) {
		ts.Logf("meanwhile %s got %d", id, runs-others[id])
	}
	after := last.Sub(since)
	late := "no"
	if after > duration(ts, args, "within", "5s") {
		late = "yes"
	}
	ts.Logf("last new work of %s at most %s after the mark", args[0], after.Round(10*time.Millisecond))
	printf(ts, "late=%s runs_after=%d\n", late, runs)
}

// runsOfOthers returns the number of runs of each other endpoint that serves the
// same model or service.
func (w *deployment) runsOfOthers(e *rig.Endpoint) map[string]int {
	out := make(map[string]int)
	for _, other := range w.rig.Endpoints {
		if other == e || other.Fleet.Serves() != e.Fleet.Serves() {
			continue
		}
		body, err := rig.GetJSON[totalRunsResponse](w.rig, other.Fleet.Addr, "/admin/runs")
		if err == nil {
			out[other.Fleet.ID] = body.Total
		}
	}
	return out
}

func (w *deployment) endpoint(ts *testscript.TestScript, id string) *rig.Endpoint {
	for _, e := range w.rig.Endpoints {
		if e.Fleet.ID == id {
			return e
		}
	}
	ts.Fatalf("no endpoint %q", id)
	return nil
}

// works ENDPOINT waits until an endpoint receives new work.
func awaitWork(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "works ENDPOINT")
	e := w.endpoint(ts, args[0])
	first, err := rig.GetJSON[totalRunsResponse](w.rig, e.Fleet.Addr, "/admin/runs")
	ts.Check(err)
	ts.Check(rig.Await(awaitTimeout, args[0]+" gets work", func() bool {
		body, err := rig.GetJSON[totalRunsResponse](w.rig, e.Fleet.Addr, "/admin/runs")
		return err == nil && body.Total > first.Total
	}))
}
