package scenario

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

// held MARK REGION prints every process outside a region whose memory or log
// contains a mark.
func leakedOutside(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 2, "held MARK REGION")
	found := 0
	for _, p := range w.processesOutside(args[1]) {
		has, err := memoryContains(p.PID(), []byte(args[0]))
		ts.Check(err)
		if has || strings.Contains(strings.Join(p.Log(), "\n"), args[0]) {
			found++
			printf(ts, "held by %s\n", p.Name)
		}
	}
	printf(ts, "holders=%d\n", found)
}

// processesOutside returns the running VMs and endpoints outside a region, and the
// platform.
func (w *deployment) processesOutside(region string) []*rig.Process {
	var out []*rig.Process
	for _, vm := range w.rig.VMs {
		if vm.Fleet.Region != region && vm.Alive() {
			out = append(out, vm.Process)
		}
	}
	for _, e := range w.rig.Endpoints {
		if e.Fleet.Region != region && e.Alive() {
			out = append(out, e.Process)
		}
	}
	return append(out, w.rig.Platform)
}

// memoryContains searches the writable memory of a process for a mark.
func memoryContains(pid int, mark []byte) (bool, error) {
	maps, err := os.Open(fmt.Sprintf("/proc/%d/maps", pid))
	if err != nil {
		return false, err
	}
	defer func() { _ = maps.Close() }()
	memory, err := os.Open(fmt.Sprintf("/proc/%d/mem", pid))
	if err != nil {
		return false, err
	}
	defer func() { _ = memory.Close() }()
	lines := bufio.NewScanner(maps)
	for lines.Scan() {
		if mappingContains(memory, lines.Text(), mark) {
			return true, nil
		}
	}
	return false, lines.Err()
}

func mappingContains(memory *os.File, line string, mark []byte) bool {
	var from, to uint64
	var rights string
	if _, err := fmt.Sscanf(line, "%x-%x %s", &from, &to, &rights); err != nil {
		return false
	}
	if !strings.HasPrefix(rights, "rw") {
		return false
	}
	const step = 1 << 20
	buf := make([]byte, step+len(mark))
	for at := from; at < to; at += step {
		n, _ := memory.ReadAt(buf[:min(uint64(len(buf)), to-at)], int64(at))
		if bytes.Contains(buf[:n], mark) {
			return true
		}
	}
	return false
}

// forwards REQUEST prints how many times a request was forwarded between VMs,
// according to the timelines of the running VMs.
func forwards(w *deployment, ts *testscript.TestScript, args []string) {
	requireArgs(ts, args, 1, "forwards REQUEST")
	n := 0
	for _, vm := range w.rig.VMs {
		if !vm.Alive() {
			continue
		}
		t, err := rig.GetJSON[operator.Timeline](w.rig, vm.Fleet.OperatorAddr, "/v1/timeline?request="+args[0])
		ts.Check(err)
		for _, e := range t.Events {
			if e.Kind == "call_forwarded" || e.Kind == "call_sent_away" {
				n++
			}
		}
	}
	printf(ts, "forwards=%d\n", n)
}

// mostforwards prints the number of calls that were forwarded between VMs, and
// the highest number of forwards of one call, according to all timelines.
func mostForwards(w *deployment, ts *testscript.TestScript, _ []string) {
	sends := make(map[string]int)
	for _, vm := range w.rig.VMs {
		if !vm.Alive() {
			continue
		}
		t, err := rig.GetJSON[operator.Timeline](w.rig, vm.Fleet.OperatorAddr, "/v1/timeline")
		ts.Check(err)
		for _, e := range t.Events {
			if e.Kind == "call_forwarded" || e.Kind == "call_sent_away" {
				sends[e.Request]++
			}
		}
	}
	most := 0
	for _, n := range sends {
		most = max(most, n)
	}
	printf(ts, "calls=%d most=%d\n", len(sends), most)
}
