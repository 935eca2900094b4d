package site

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
)

// TestEngineDeniesOnlyWhatItKnows guards against taking a part for unread that an engine has
// evicted, has read in an earlier life, or can't be asked about.
func TestEngineDeniesOnlyWhatItKnows(t *testing.T) {
	n := runningFleetNode(t, smallFleet)
	instance, epoch, born, events := "i-x", 7, 1, `[1,"+","","a",9,"m"]`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Fuchsianotch-Instance-Id", instance)
		switch {
		case r.URL.Path == "/report":
			_, _ = fmt.Fprintf(w, `{"born":%d}`, born)
		case r.URL.Path == "/kv-list":
			_, _ = fmt.Fprintf(w, `{"epoch":%d,"Next":2,"held":[["","b",9,"m"]]}`, epoch)
		case r.URL.Query().Get("since") == "0":
			_, _ = fmt.Fprintf(w, `{"epoch":%d,"Next":2,"events":[%s]}`, epoch, events)
		default:
			_, _ = fmt.Fprintf(w, `{"epoch":%d,"Next":2,"events":[]}`, epoch)
		}
	}))
	defer server.Close()
	e := fleet.Endpoint{
		ID:          "i-x",
		Service:     "s",
		Addr:        strings.TrimPrefix(server.URL, "http://"),
		Incarnation: 1,
	}
	ask := func() engineAnswer { return n.evidence.askEngine(t.Context(), e, "/health") }
	for range 2 {
		answer := ask()
		assert.Assert(t, answer.complete)
		assert.Assert(t, answer.parts[0xa] && answer.parts[0xb] && !answer.parts[0xc], "%v", answer.parts)
	}
	epoch, events = 8, ""
	answer := ask()
	assert.Assert(t, !answer.parts[0xa], "what an engine read before it restarted is gone")
	assert.Assert(t, !answer.complete, "it may have read a part that is gone")
	assert.Assert(t, !ask().complete)
	born = 2
	assert.Assert(t, !ask().complete, "a later life than the entry's does not know what the former read")
	epoch, e.Incarnation = 9, 2
	assert.Assert(t, ask().complete, "the departure of the former life counts")
	e.Incarnation = 0
	assert.Assert(t, ask().complete, "an endpoint without incarnations starts under a new id")
	epoch = 10
	assert.Assert(t, !ask().complete, "an endpoint without incarnations that restarted all the same")
	e.Incarnation, epoch, instance = 3, 11, "i-y"
	assert.Assert(t, !ask().complete, "another endpoint has the address")
}

// TestRunsOfLostVMsAreKnown guards against refusing the streams that engines still work on as a VM
// starts, and against records from another life of an engine or of two versions.
func TestRunsOfLostVMsAreKnown(t *testing.T) {
	n := runningFleetNode(t, smallFleet)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Fuchsianotch-Instance-Id", "i-x")
		_, _ = fmt.Fprint(w, `{"born":5,"Runs":[["streams",90,3,1],["waits",40,0,1]]}`)
	}))
	defer server.Close()
	e := fleet.Endpoint{
		ID:              "i-x",
		Service:         "s",
		Addr:            strings.TrimPrefix(server.URL, "http://"),
		Incarnation:     5,
		SoftwareVersion: "v2",
	}
	runs := func() []string { return n.streams.runsOf(t.Context(), e, "/health") }
	assert.DeepEqual(t, runs(), []string{"streams"})
	e.Incarnation = 4
	assert.Equal(t, len(runs()), 0, "an earlier life's entry")
	e.Incarnation = 0
	assert.DeepEqual(t, runs(), []string{"streams"})
	e.ID = "i-y"
	assert.Equal(t, len(runs()), 0, "another endpoint has the address")

	other := e
	other.SoftwareVersion = "v1"
	until := time.Unix(1e9, 0)
	got := originsOfRuns("s", []fleet.Endpoint{e, other, other}, [][]string{{"a", "both"}, {"both"}, {"b"}}, until)
	slices.SortFunc(got, func(a, b origin.Origin) int { return strings.Compare(a.Request, b.Request) })
	assert.DeepEqual(t, got, []origin.Origin{
		{Request: "a", Service: "s", Version: "v2", KeepUntil: until},
		{Request: "b", Service: "s", Version: "v1", KeepUntil: until},
	})
}

// TestStoreIsEmptyAtFirst guards against a VM that ends when it reads a store in which nothing has
// been written yet more than once.
func TestStoreIsEmptyAtFirst(t *testing.T) {
	n := newFleetNode(smallFleet, time.Now)
	read := storeRead{
		full: true,
	}
	n.evidence.began(read, n.now())
	n.evidence.began(read, n.now())
	select {
	case <-n.evidence.contentsKnown:
		t.Fatal("an empty store counts as known")
	default:
	}
	read.position.Revision = 1
	n.evidence.began(read, n.now())
	<-n.evidence.contentsKnown
}
