package site

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/discovery"
)

// pauseTime is how long a VM stands still.
const pauseTime = 4 * time.Second

// TestPausedVMFollowsNewVersion guards against a VM that stood still and repeats calls by a version of
// the routing table that is no longer in force.
func TestPausedVMFollowsNewVersion(t *testing.T) {
	for _, row := range datatest.Read[[]struct {
		Name string
		// Path is the call's, Fail how the endpoint fails its runs.
		Path string
		Fail string
		// Config is published while the VM stands still; none if it is empty.
		Config json.RawMessage
		// StoreFails is set if the store turns the VM away when it goes on.
		StoreFails bool `json:"store_fails"`
		// During is set if the VM stands still while an endpoint works on the call.
		During   bool
		Want     string
		WantRuns int64 `json:"want_runs"`
	}](t, "testdata/paused_vm.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			store := newPausedVMStore(t)
			var paused atomic.Int64
			f := startForwardingVMs(t)
			f.storeURL = store.url
			f.now = func() time.Time { return time.Now().Add(time.Duration(paused.Load())) }
			f.start(t, "d", "r1", freeAddr(t))
			f.introduce("d")
			f.awaitRetries(t, true)
			n := f.vms["d"].node
			n.control.send(t.Context(), func(c *control, now time.Time) {
				c.applyRevision(discovery.Item{
					Key:      "op/other",
					Revision: 2,
				}, now)
				c.publish(now)
			})
			waitFor(t, func() bool { return !n.control.snapshot().position.IsZero() })
			standStill := func() {
				store.publish(row.Config, row.StoreFails)
				paused.Add(int64(pauseTime))
				n.onResume(pauseTime)
			}
			answer := make(chan string, 1)
			if !row.During {
				standStill()
			}
			go func() { answer <- f.sendOnceTo("d", row.Path, row.Fail) }()
			if row.During {
				waitFor(t, func() bool { return f.runs.Load() == 1 })
				standStill()
			}
			assert.Equal(t, <-answer, row.Want)
			assert.Equal(t, f.runs.Load(), row.WantRuns)
		})
	}
}

// pausedVMStore is a store that loses the answer to a watch that is under way when it changes.
type pausedVMStore struct {
	url     string
	changes atomic.Pointer[string]
	fails   atomic.Bool
}

func newPausedVMStore(t *testing.T) *pausedVMStore {
	s := &pausedVMStore{}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

func (s *pausedVMStore) publish(config []byte, fails bool) {
	events := `{"events":[],"AsOf":2}`
	if len(config) > 0 {
		events = fmt.Sprintf(`{"events":[{"Key":"op/config","Rev":3,"Value":%q}],"AsOf":3}`, base64.StdEncoding.EncodeToString(config))
	}
	s.fails.Store(fails)
	s.changes.Store(&events)
}

// ServeHTTP implements http.Handler.
func (s *pausedVMStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	events := s.changes.Load()
	switch {
	case events == nil:
		<-r.Context().Done()
	case s.fails.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte(*events))
	}
}
