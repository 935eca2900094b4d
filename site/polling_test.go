package site

import (
	"fmt"
	"net"
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

// TestPollUsesOneConnection guards against polls that open a connection for the load and
// another one for the health of each engine.
func TestPollUsesOneConnection(t *testing.T) {
	var connections, reports, checks atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/report":
			reports.Add(1)
			fmt.Fprint(w, `{"Active":1,"KvTotal":1000}`)
		case "/health":
			checks.Add(1)
		default:
			http.NotFound(w, r)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	n := newFleetNode(largeFleet, time.Now)
	n.control.applyRevision(discovery.Item{
		Key:      "op/config",
		Revision: n.control.mirror.Position().Revision + 1,
		Value:    []byte(`{"Version":2,"Routes":[],"Services":[{"Name":"s","HealthPath":"/health","ColdS":3,"Engine":{"Slots":64}}]}`),
	}, time.Now())
	n.control.publish(time.Now())
	n.pools.pollEngine(t.Context(), fleet.Endpoint{
		ID:      "polled",
		Service: "s",
		Addr:    strings.TrimPrefix(server.URL, "http://"),
	}, 1)
	assert.Equal(t, reports.Load(), int64(1))
	assert.Equal(t, checks.Load(), int64(1))
	assert.Equal(t, connections.Load(), int64(1))
}
