package site

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestForwardedCallOutlivesStop guards against a forwarded call that ends with the VM that serves
// it, as if at its deadline, though another VM could go on with it.
func TestForwardedCallOutlivesStop(t *testing.T) {
	for _, row := range datatest.Read[[]struct {
		Name string
		Path string
		// Runs is how long an endpoint takes for the whole answer.
		Runs int
		// Stop says when VMs are told to stop, in milliseconds after the call has reached an
		// endpoint through VM b.
		Stop map[string]int
		// Alone is set if no other VM of the region can take calls. Restart is when VM b starts
		// again, in milliseconds after its end; zero means that it does not.
		Alone   bool
		Restart int
		// Want is the answer: its status, and whether its caller has the whole of it.
		Want     string
		WantRuns int64 `json:"want_runs"`
		// WantCode and WantPeer are in the last line of the call at VM a, which took it.
		WantCode result.Code `json:"want_code"`
		WantPeer string      `json:"want_peer"`
		// Uncut is set if the stop of VM b cuts off nothing.
		Uncut bool
	}](t, "testdata/forwarded_stop.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			f := startForwardingVMs(t)
			answer := make(chan string, 1)
			go func() { answer <- f.send(row.Path, row.Runs) }()
			waitFor(t, func() bool { return f.runs.Load() == 1 })
			if !row.Alone {
				f.introduce("c")
				waitFor(t, func() bool { return len(f.vms["a"].node.control.snapshot().members.AcceptingVMs("r1")) == 2 })
			}
			stopped := maps.Clone(f.vms)
			for id, ms := range row.Stop {
				time.AfterFunc(time.Duration(ms)*time.Millisecond, f.vms[id].stop)
			}
			if row.Restart > 0 {
				assert.NilError(t, <-stopped["b"].ended)
				close(stopped["b"].ended)
				time.Sleep(time.Duration(row.Restart) * time.Millisecond)
				f.start(t, "b", "r1", stopped["b"].node.deployment.PeerAddr)
				f.introduce("b")
			}
			assert.Equal(t, <-answer, row.Want)
			assert.Equal(t, f.runs.Load(), row.WantRuns)
			var end struct {
				Code result.Code
				Peer string
			}
			waitFor(t, func() bool {
				line := f.vms["a"].log.find("call_ended")
				return line != nil && json.Unmarshal(line, &end) == nil
			})
			assert.Equal(t, end.Code, row.WantCode)
			assert.Equal(t, end.Peer, row.WantPeer)
			if _, stops := row.Stop["b"]; stops && !row.Uncut {
				line := string(stopped["b"].log.find("attempt_failed"))
				assert.Assert(t, strings.Contains(line, `"code":3006`) && strings.Contains(line, `"caller_gone":false`), line)
			}
			for id := range row.Stop {
				assert.NilError(t, <-stopped[id].ended)
			}
		})
	}
}

// TestStreamOfGoneCallerEnds guards against a resumable stream that runs again at another VM as
// its caller has gone, and against a VM that counts as lost for that.
func TestStreamOfGoneCallerEnds(t *testing.T) {
	f := startForwardingVMs(t)
	f.introduce("c")
	a := f.vms["a"].node
	waitFor(t, func() bool { return len(a.control.snapshot().members.AcceptingVMs("r1")) == 2 })
	chunks := 0
	outcome := a.serve(t.Context(), &call.Call{
		ID:         "a",
		Kind:       call.KindRouted,
		Service:    "s",
		Method:     http.MethodPost,
		Path:       "/resumable/x?ms=1000",
		Header:     http.Header{"X-Fuchsianotch-Attempt-Id": {"a"}},
		Stream:     true,
		Idempotent: true,
		Deadline:   a.now().Add(9 * time.Second),
		Routed: &call.Routed{
			Host:        "h",
			Route:       "resumable",
			Version:     1,
			Resumable:   true,
			MaxAttempts: 2,
		},
	}, call.Sink{
		Version: func(string) {},
		Head:    func(int, http.Header) error { return nil },
		Chunk: func([]byte) error {
			chunks++
			if chunks > 1 {
				return net.ErrClosed
			}
			return nil
		},
	})
	assert.Check(t, outcome.Code == result.EndpointTimeout, "%v", outcome.Refusal)
	assert.Check(t, f.runs.Load() == 1, "%d runs", f.runs.Load())
	assert.Equal(t, len(a.control.snapshot().members.AcceptingVMs("r1")), 2)
}
