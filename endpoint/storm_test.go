package endpoint

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// stormFaults are dealt out by a hash of the attempt's id.
var stormFaults = []struct {
	name      string
	code      result.Code
	delivered int
}{
	{name: "whole", code: result.Done, delivered: stormTokens},
	{name: "whole again", code: result.Done, delivered: stormTokens},
	{name: "crossed head", code: result.AnswerCrossed},
	{name: "crossed chunk", code: result.AnswerCrossed, delivered: stormTokens / 2},
	{name: "cut", code: result.EndpointCut, delivered: stormTokens / 2},
	{name: "no end", code: result.EndpointCut, delivered: stormTokens},
	{name: "refused", code: result.EndpointRefused},
}

const (
	stormCalls       = 4000
	stormConcurrency = 1000
	stormTokens      = 20
	markerPrefix     = "own-"
)

func faultIndex(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32()) % len(stormFaults)
}

// faultyServer answers each stream with the tokens of whichever request came last,
// where the fault says so.
type faultyServer struct {
	mu   sync.Mutex
	last string
}

func (c *faultyServer) other(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	other := c.last
	if other == "" || other == id {
		other = "nobody"
	}
	c.last = id
	return other
}

func (c *faultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	other := c.other(id)
	name := stormFaults[faultIndex(id)].name
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Content-Type", eventStream)
	if name == "refused" {
		w.Header().Set(headerRun, runNone)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if name == "crossed head" {
		w.Header().Set(headerRequestID, other)
		id = other
	}
	for i := range stormTokens {
		if i == stormTokens/2 {
			switch name {
			case "cut":
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			case "crossed chunk":
				id = other
			}
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":{\"content\":\"%s%s \"}}]}\n\n", id, markerPrefix, id)
		if i%5 == 0 {
			_ = http.NewResponseController(w).Flush()
		}
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", id)
	if name != "no end" {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
}

// TestStorm sends thousands of streams at once to an endpoint that crosses and
// cuts them. Each caller must get the whole of its own answer, or the whole
// tokens up to the fault and the fault's code.
func TestStorm(t *testing.T) {
	server := httptest.NewServer(&faultyServer{})
	defer server.Close()
	client := New(Options{})
	var group sync.WaitGroup
	turns := make(chan struct{}, stormConcurrency)
	for n := range stormCalls {
		turns <- struct{}{}
		group.Go(func() {
			defer func() { <-turns }()
			stormCall(t, client, server.Listener.Addr().String(), fmt.Sprintf("call-%d.vm-1.%d", n, n%7))
		})
	}
	group.Wait()
}

func stormCall(t *testing.T, client *Client, addr, id string) {
	var body strings.Builder
	o := client.Send(context.Background(), Attempt{
		ID:       id,
		Endpoint: fleet.Endpoint{Addr: addr},
		Call: &call.Call{
			Kind:       call.KindChat,
			Method:     http.MethodPost,
			Path:       "/v1/chat/completions",
			Body:       []byte(`{}`),
			Stream:     true,
			Idempotent: true,
		},
	}, Sink{
		Head: func(int, http.Header) error { return nil },
		Chunk: func(data []byte) error {
			body.Write(data)
			return nil
		},
	})
	expected := stormFaults[faultIndex(id)]
	text := body.String()
	assert.Check(t, o.Code == expected.code, "%s %s: %v: %v", id, expected.name, o.Err, errors.Unwrap(o.Err))
	assert.Check(t, o.Delivered == expected.delivered, "%s %s: %d delivered", id, expected.name, o.Delivered)
	assert.Check(t, strings.Count(text, markerPrefix) == expected.delivered, id)
	assert.Check(t, strings.Count(text, markerPrefix+id+" ") == expected.delivered, id)
	assert.Check(t, strings.HasSuffix(text, "[DONE]\n\n") == (o.Code == result.Done), id)
}
