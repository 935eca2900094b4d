package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// outcomeCase is one fault and the expected outcome, from testdata/outcomes.json.
type outcomeCase struct {
	Name       string            `json:"name"`
	Call       string            `json:"call"`
	AnswerID   string            `json:"answer_id"`
	ResumeFrom int               `json:"resume_from"`
	MaxAnswer  int               `json:"max_answer"`
	WholeIn    contract.Duration `json:"whole_in"`
	PausedFor  contract.Duration `json:"paused_for"`
	Denied     bool              `json:"denied"`
	SinkFails  bool              `json:"sink_fails"`
	NoDial     bool              `json:"no_dial"`
	// Warm is the id in the response to a preceding call; empty means no such call.
	Warm   string      `json:"warm"`
	Answer []string    `json:"answer"`
	Want   wantOutcome `json:"want"`
}

type wantOutcome struct {
	Code       string `json:"code"`
	Sent       bool   `json:"sent"`
	Delivered  int    `json:"delivered"`
	Generated  int    `json:"generated"`
	Resumable  bool   `json:"resumable"`
	CallerGone bool   `json:"caller_gone"`
	Status     int    `json:"status"`
	Passed     string `json:"passed"`
	// Header lists the names of the forwarded headers; not checked if empty.
	Header string `json:"header"`
	// Requests is the number of requests that reached the endpoint; nil means one.
	Requests    *int `json:"requests"`
	Connections int  `json:"connections"`
}

func load[T any](t *testing.T, path string) T {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	var value T
	assert.NilError(t, decoder.Decode(&value))
	return value
}

func TestOutcomes(t *testing.T) {
	for _, r := range load[[]outcomeCase](t, "testdata/outcomes.json") {
		t.Run(r.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { r.test(t) })
		})
	}
}

// received records what the sink was given.
type received struct {
	status int
	header http.Header
	body   strings.Builder
}

func (r outcomeCase) test(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := &scriptedEndpoint{
		t:          t,
		script:     r.Answer,
		warm:       r.Warm,
		noDial:     r.NoDial,
		pausedFor:  r.PausedFor.Duration,
		cancelCall: cancel,
	}
	transport := &http.Transport{DialContext: f.dial}
	client := New(Options{
		Client:           &http.Client{Transport: transport},
		Now:              f.now,
		MaxResponseBytes: r.MaxAnswer,
	})
	if r.Warm != "" {
		o := client.Send(ctx, r.warmUp(), r.sink(&received{}))
		assert.Equal(t, o.Code == result.Done, r.Warm == "$ID", "%v", o.Err)
	}
	var got received
	o := client.Send(ctx, r.attempt(), r.sink(&got))
	pooled, _ := client.pooled.(*http.Transport)
	pooled.CloseIdleConnections()
	f.group.Wait()
	r.check(t, o, &got, f)
}

func (r outcomeCase) warmUp() Attempt {
	return Attempt{
		ID:       "warm",
		Endpoint: fleet.Endpoint{Addr: "127.0.0.1:1"},
		Call:     r.call("get"),
	}
}

func (r outcomeCase) attempt() Attempt {
	a := Attempt{
		ID:               "own",
		CallerResponseID: r.AnswerID,
		Endpoint:         fleet.Endpoint{Addr: "127.0.0.1:1"},
		Call:             r.call(r.Call),
		ResumeFrom:       r.ResumeFrom,
	}
	if r.Denied {
		a.BeforeSend = func() error { return result.Refuse(result.TicketExpired, "the ticket was released") }
	}
	return a
}

func (r outcomeCase) call(kind string) *call.Call {
	in := 10 * time.Second
	if r.WholeIn.Duration != 0 {
		in = r.WholeIn.Duration
	}
	c := &call.Call{
		Kind:       call.KindService,
		Method:     http.MethodPost,
		Path:       "/tee/7?day=1",
		Header:     http.Header{"Idempotency-Key": {"op"}},
		Body:       []byte(`{"a":1}`),
		Idempotent: true,
		Deadline:   time.Now().Add(in),
	}
	switch kind {
	case "stream", "chat":
		c.Kind = call.KindChat
		c.Path = "/v1/chat/completions"
		c.Stream = kind == "stream"
	case "service_once":
		c.Idempotent = false
	case "empty_post":
		c.Body = nil
	case "get":
		c.Method = http.MethodGet
		c.Body = nil
	}
	return c
}

func (r outcomeCase) sink(got *received) Sink {
	return Sink{
		Head: func(status int, header http.Header) error {
			if got.status != 0 {
				return errors.New("a second head")
			}
			got.status = status
			got.header = header
			return nil
		},
		Chunk: func(data []byte) error {
			if r.SinkFails {
				return errors.New("broken pipe")
			}
			got.body.Write(data)
			return nil
		},
	}
}

func (r outcomeCase) check(t *testing.T, o Outcome, got *received, f *scriptedEndpoint) {
	w := r.Want
	assert.Equal(t, o.Code.String(), w.Code, "%v", o.Err)
	assert.Equal(t, o.Err == nil, o.Code == result.Done)
	assert.Equal(t, o.Sent, w.Sent)
	assert.Equal(t, o.Delivered, w.Delivered)
	assert.Equal(t, o.Usage.GeneratedTokens, w.Generated)
	assert.Equal(t, o.Resumable, w.Resumable)
	assert.Equal(t, o.CallerDisconnected, w.CallerGone)
	id := r.AnswerID
	if id == "" {
		id = "own"
	}
	passed := summarizeEvents(t, got.body.String(), id)
	if w.Passed == "completion" {
		refusal := (&exchange{attempt: Attempt{ID: id}}).validateCompletion([]byte(passed))
		assert.Assert(t, refusal == nil, "%v", refusal)
		passed = w.Passed
	}
	assert.Equal(t, passed, w.Passed)
	if w.Status != 0 {
		assert.Equal(t, got.status, w.Status)
	}
	if w.Header != "" {
		assert.Equal(t, strings.Join(slices.Sorted(maps.Keys(got.header)), " "), w.Header)
	}
	requests := 1
	if w.Requests != nil {
		requests = *w.Requests
	}
	if r.Warm != "" {
		requests++
	}
	assert.Equal(t, len(f.requests), requests)
	if w.Connections > 0 {
		assert.Equal(t, f.connections, w.Connections)
	}
	if requests > 0 {
		header := f.requests[requests-1]
		assert.Equal(t, header.Get("Idempotency-Key"), "op")
		assert.Equal(t, header.Get(headerRequestID), "own")
	}
}
