package site

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/discovery"
)

// TestCallFollowsOneVersion guards against a forwarded call that runs twice, or is refused, as the
// VMs that it visits hold different versions of the routing table.
func TestCallFollowsOneVersion(t *testing.T) {
	for _, row := range datatest.Read[[]struct {
		Name string
		// Versions holds the configuration of each VM; those without one have the first version.
		// Then holds the configurations that VMs get once the first run has begun.
		Versions map[string]json.RawMessage
		Then     map[string]json.RawMessage
		// Fail is how the endpoint fails each run: with a status, or by ending the connection,
		// after events or before an answer.
		Fail string
		Path string
		// Late is set if VM c can take calls only once the first run has begun.
		Late bool
		Want string
		// WantRuns counts the runs that reached the endpoint.
		WantRuns int64 `json:"want_runs"`
	}](t, "testdata/one_version.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			f := startForwardingVMs(t)
			if !row.Late {
				f.introduce("c")
				f.awaitVMs(t, 2)
			}
			for id, config := range row.Versions {
				f.publish(t, id, config)
			}
			f.awaitRetries(t, row.Late)
			answer := make(chan string, 1)
			go func() { answer <- f.sendOnce(row.Path, row.Fail) }()
			if row.Late || row.Then != nil {
				waitFor(t, func() bool { return f.runs.Load() == 1 })
			}
			for id, config := range row.Then {
				f.publish(t, id, config)
			}
			if row.Late {
				f.introduce("c")
				f.introduceTo("c", "a")
				f.awaitVMs(t, 2)
			}
			assert.Equal(t, <-answer, row.Want)
			assert.Equal(t, f.runs.Load(), row.WantRuns)
		})
	}
}

// publish gives a VM another version of the configuration.
func (f *forwardingVMs) publish(t *testing.T, id string, config []byte) {
	t.Helper()
	n := f.vms[id].node
	n.control.send(context.Background(), func(c *control, now time.Time) {
		c.applyItems([]discovery.Item{{
			Key:      "op/config",
			Revision: 3,
			Value:    config,
		}}, false, now)
		c.publish(now)
	})
	waitFor(t, func() bool { return n.control.snapshot().table.Version > 1 })
}

// awaitVMs waits until VM a knows a number of VMs that take calls in the region of VM b.
func (f *forwardingVMs) awaitVMs(t *testing.T, count int) {
	t.Helper()
	waitFor(t, func() bool { return len(f.vms["a"].node.control.snapshot().members.AcceptingVMs("r1")) == count })
}

// awaitRetries waits until all VMs may retry calls of VM a, which VM c need not know.
func (f *forwardingVMs) awaitRetries(t *testing.T, withoutC bool) {
	t.Helper()
	for id, vm := range f.vms {
		n := vm.node
		waitFor(t, func() bool {
			_, known := n.control.snapshot().members.Find("a")
			return (known || id == "c" && withoutC) && n.now().Sub(n.startedAt) > 2*n.bounds.Load().RetryWindow
		})
	}
}

// sendOnce sends a call with a key to VM a and describes what its caller gets.
func (f *forwardingVMs) sendOnce(path, fail string) string { return f.sendOnceTo("a", path, fail) }

// sendOnceTo is sendOnce to any VM.
func (f *forwardingVMs) sendOnceTo(vm, path, fail string) string {
	req, err := f.newRequest(vm, path, fail, []byte("b"))
	if err != nil {
		return err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "none"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken"
	}
	return strconv.Itoa(resp.StatusCode)
}
