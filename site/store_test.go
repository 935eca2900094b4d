package site

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/platform"
)

// TestWatchOfAnotherEraIsNotApplied guards against changes that follow a revision which the
// store has given out again.
func TestWatchOfAnotherEraIsNotApplied(t *testing.T) {
	n := runningFleetNode(t, smallFleet)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Store-Era", "1")
		_, _ = io.WriteString(w, `{"events":[],"AsOf":99}`)
	}))
	defer server.Close()
	n.store.SetURL(server.URL)
	_, err := n.readOnce(t.Context(), false)
	assert.ErrorIs(t, err, platform.ErrHistoryLost)
}

// TestLowerRevisionOfLaterEra guards against a VM that goes on with what it holds, or passes
// it on, after the store came back with a lower revision.
func TestLowerRevisionOfLaterEra(t *testing.T) {
	n, peer := runningFleetNode(t, smallFleet), runningFleetNode(t, smallFleet)
	held := n.control.snapshot().position
	restored := storeRead{
		items:    []discovery.Item{fleetEngine(3, 2)},
		position: discovery.Position{Era: held.Era + 1, Revision: 2},
		full:     true,
	}
	assert.Assert(t, !n.rejectOutdated(t.Context(), restored))
	n.applyRead(t.Context(), restored)
	waitFor(t, func() bool { return n.control.snapshot().position == restored.position })
	assert.Assert(t, n.rejectOutdated(t.Context(), storeRead{
		position: discovery.Position{Era: held.Era, Revision: held.Revision + 9},
		full:     true,
	}))
	waitFor(t, func() bool { return n.control.snapshot().members.StoreUnreadable() })
	reply, err := query(t.Context(), n.control, func(c *control, now time.Time) bool {
		return c.changesReply(held, now).GetWhole()
	})
	assert.NilError(t, err)
	assert.Assert(t, reply, "a peer of an earlier era needs everything")
	message, err := query(t.Context(), peer.control, func(c *control, now time.Time) discovery.Position {
		m := c.urgentMessage("r0", now)
		return discovery.Position{Era: m.GetPublishedEra(), Revision: m.GetPublishedRevision()}
	})
	assert.NilError(t, err)
	assert.Assert(t, restored.position.IsAfter(message))
}
