package site

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestEnginesThatBecomeColdTogether guards against engines that get calls as if they were warm,
// as each is asked for its health in its turn only, while the store is silent.
func TestEnginesThatBecomeColdTogether(t *testing.T) {
	n, engines, asked := newColdEngines(t, "3000")
	startControl(t, n)
	assert.NilError(t, n.pools.probeCold(t.Context(), engines[0]))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && asked[3].Load()*asked[2].Load()*asked[1].Load() == 0; {
		time.Sleep(time.Millisecond)
	}
	total := int64(0)
	for i := range asked {
		assert.Assert(t, asked[i].Load() > 0, "engine %d was not asked", i)
		total += asked[i].Load()
	}
	// Each engine is found cold once, and leads to the others.
	assert.Assert(t, total <= int64(1+len(asked)*(len(asked)-1)), total)
}

// newColdEngines returns a VM that counts four engines as warm, which say that they are cold for
// some milliseconds, and how often each was asked.
func newColdEngines(t *testing.T, coldMillis string) (*Node, []fleet.Endpoint, *[4]atomic.Int64) {
	t.Helper()
	n := newFleetNode(fleetSize{vms: 3, engines: 3}, time.Now)
	n.control.applyRevision(discovery.Item{
		Key:      "op/config",
		Revision: n.control.mirror.Position().Revision + 1,
		Value:    []byte(`{"Version":2,"Routes":[],"Services":[{"Name":"s","HealthPath":"/health","ColdS":3,"Engine":{"Slots":64}}]}`),
	}, time.Now())
	var asked [4]atomic.Int64
	var engines []fleet.Endpoint
	for i := range asked {
		id := fmt.Sprintf("cold-%d", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked[i].Add(1)
			w.Header().Set("X-Fuchsianotch-Instance-Id", id)
			w.Header().Set("X-Fuchsianotch-Cold-Ms", coldMillis)
		}))
		t.Cleanup(server.Close)
		engines = append(engines, fleet.Endpoint{
			ID:      id,
			Service: "s",

			DataCentre: "r0-a",

			Addr: strings.TrimPrefix(server.URL, "http://"),
		})
		n.control.applyRevision(discovery.Item{
			Key:      "servers/" + engines[i].ID,
			Revision: n.control.mirror.Position().Revision + 1,
			Value:    fmt.Appendf(nil, `{"Service":"s","Addr":%q,"Zone":"r0-a","Version":"v1","Slots":64,"State":"ready","Seq":1}`, engines[i].Addr),
		}, time.Now())
	}
	n.control.publish(time.Now())
	return n, engines, &asked
}

// TestColdEnginesThatCountAsWarm guards against engines that each lead to the others for as
// long as they are cold, where the end of the cold period that is known is a moment early.
func TestColdEnginesThatCountAsWarm(t *testing.T) {
	n, engines, asked := newColdEngines(t, "200")
	for _, e := range engines {
		now := time.Now()
		n.control.discovery.ReportCold(e.ID, now.Add(time.Millisecond), now, false)
	}
	time.Sleep(2 * time.Millisecond)
	n.control.discovery.Advance(time.Now())
	n.control.publish(time.Now())
	startControl(t, n)
	assert.NilError(t, n.pools.probeCold(t.Context(), engines[0]))
	time.Sleep(200 * time.Millisecond)
	total := int64(0)
	for i := range asked {
		total += asked[i].Load()
	}
	assert.Assert(t, total <= int64(1+len(asked)*(len(asked)-1)), total)
}
