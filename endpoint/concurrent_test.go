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

// serverFaults are the faults, chosen by a hash of the attempt's id.
var serverFaults = []struct {
	name      string
	code      result.Code
	delivered int
}{
	{name: "whole", code: result.Done, delivered: tokensPerStream},
	{name: "whole again", code: result.Done, delivered: tokensPerStream},
	{name: "crossed head", code: result.AnswerCrossed},
	{name: "crossed chunk", code: result.AnswerCrossed, delivered: tokensPerStream / 2},
	{name: "cut", code: result.EndpointCut, delivered: tokensPerStream / 2},
	{name: "no end", code: result.EndpointCut, delivered: tokensPerStream},
	{name: "refused", code: result.EndpointRefused},
}

const (
	callCount          = 4000
	maxConcurrentCalls = 1000
	tokensPerStream    = 20
	markerPrefix       = "own-"
)

func faultIndex(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32()) % len(serverFaults)
}

// faultyServer serves streams with the fault of each attempt. A crossed response has
// the id of the latest request before it.
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
	name := serverFaults[faultIndex(id)].name
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
	for i := range tokensPerStream {
		if i == tokensPerStream/2 {
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

// TestConcurrentFaults sends concurrent streams to an endpoint that mixes up and
// truncates them. Each caller must receive its own tokens up to the fault, no others,
// and the fault's code.
func TestConcurrentFaults(t *testing.T) {
	server := httptest.NewServer(&faultyServer{})
	defer server.Close()
	client := New(Options{})
	var group sync.WaitGroup
	permits := make(chan struct{}, maxConcurrentCalls)
	for n := range callCount {
		permits <- struct{}{}
		group.Go(func() {
			defer func() { <-permits }()
			checkConcurrentCall(t, client, server.Listener.Addr().String(), fmt.Sprintf("call-%d.vm-1.%d", n, n%7))
		})
	}
	group.Wait()
}

func checkConcurrentCall(t *testing.T, client *Client, addr, id string) {
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
	expected := serverFaults[faultIndex(id)]
	text := body.String()
	assert.Check(t, o.Code == expected.code, "%s %s: %v: %v", id, expected.name, o.Err, errors.Unwrap(o.Err))
	assert.Check(t, o.Delivered == expected.delivered, "%s %s: %d delivered", id, expected.name, o.Delivered)
	assert.Check(t, strings.Count(text, markerPrefix) == expected.delivered, id)
	assert.Check(t, strings.Count(text, markerPrefix+id+" ") == expected.delivered, id)
	assert.Check(t, strings.HasSuffix(text, "[DONE]\n\n") == (o.Code == result.Done), id)
}
