package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	client "github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/fault"
)

const tokens = 5

type answerCase struct {
	Name         string       `json:"name"`
	ID           string       `json:"id"`
	Stream       bool         `json:"stream"`
	ResumeFrom   int          `json:"resume_from"`
	NeverResumes bool         `json:"never_resumes"`
	Faults       fault.Faults `json:"faults"`
	Want         struct {
		Code      string `json:"code"`
		Delivered int    `json:"delivered"`
		First     int    `json:"first"`
		Runs      int    `json:"runs"`
		Leaving   bool   `json:"leaving"`
	} `json:"want"`
}

// start serves an engine until the test ends, then checks its graceful shutdown.
func start(t *testing.T, o Options) (*Endpoint, fleet.Endpoint) {
	t.Helper()
	o.Step = time.Millisecond
	e := New(o)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- e.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-stopped)
	})
	return e, fleet.Endpoint{Addr: listener.Addr().String()}
}

func newCall(isStream bool, words int) *call.Call {
	text := strings.Repeat("word ", words) + "marker=M7"
	return &call.Call{
		Kind:       call.KindChat,
		Method:     http.MethodPost,
		Path:       "/v1/chat/completions",
		Body:       fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}],"stream":%t,"max_tokens":%d}`, text, isStream, tokens),
		Stream:     isStream,
		Idempotent: true,
		Priority:   call.PriorityChat,
	}
}

func send(ctx context.Context, at fleet.Endpoint, id string, c *call.Call, resumeFrom int) (client.Outcome, string) {
	var body strings.Builder
	o := client.New(client.Options{}).Send(ctx, client.Attempt{
		ID:         id,
		Endpoint:   at,
		Call:       c,
		ResumeFrom: resumeFrom,
	}, client.Sink{
		Head: func(int, http.Header) error { return nil },
		Chunk: func(data []byte) error {
			body.Write(data)
			return nil
		},
	})
	return o, body.String()
}

// TestAnswers checks the engine against the gateway's client, so that both
// implement the same protocol.
func TestAnswers(t *testing.T) {
	rows := datatest.Read[[]answerCase](t, "testdata/answers.json")
	for _, r := range rows {
		t.Run(r.Name, r.test)
	}
}

func (r answerCase) test(t *testing.T) {
	e, at := start(t, Options{Resumes: !r.NeverResumes})
	put(t, at, r.Faults)
	id := r.ID
	if id == "" {
		id = "own"
	}
	o, body := send(t.Context(), at, id, newCall(r.Stream, 40), r.ResumeFrom)
	assert.Equal(t, o.Code.String(), r.Want.Code, "%v", o.Err)
	assert.Equal(t, o.Delivered, r.Want.Delivered)
	if r.Want.Code == "done" {
		for i := range tokens {
			assert.Equal(t, strings.Contains(body, fmt.Sprintf("M7-%d ", i)), i >= r.Want.First, "token %d", i)
		}
		assert.Equal(t, o.Usage.GeneratedTokens, tokens-r.Want.First)
		assert.Equal(t, o.Load.Leaving, r.Want.Leaving)
	}
	report := e.runs.Report()
	assert.Equal(t, report.Runs[id], r.Want.Runs)
	assert.Equal(t, report.RunsLeaving > 0, r.Want.Leaving)
	assert.Assert(t, e.bodies.Contains("M7"))
	assert.Assert(t, !e.bodies.Contains("M8"))
}

func put(t *testing.T, at fleet.Endpoint, f fault.Faults) {
	t.Helper()
	data, err := json.Marshal(f)
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+at.Addr+"/admin/faults", strings.NewReader(string(data)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// TestCancel checks that an engine releases the slot of a request whose client
// disconnects.
func TestCancel(t *testing.T) {
	e, at := start(t, Options{Slots: 1})
	put(t, at, fault.Faults{Silent: true})
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan client.Outcome, 1)
	go func() {
		o, _ := send(ctx, at, "silent", newCall(true, 1), 0)
		done <- o
	}()
	for e.runs.Report().Total == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	assert.Equal(t, (<-done).Code, result.EndpointTimeout)
	put(t, at, fault.Faults{})
	o, _ := send(t.Context(), at, "next", newCall(true, 1), 0)
	assert.Equal(t, o.Code, result.Done, "%v", o.Err)
}

// TestCache checks cache hits, eviction, and delayed events with gaps.
func TestCache(t *testing.T) {
	c := newCache(4)
	long := hashBlocks(strings.Fields(strings.Repeat("a b c d ", 4*blockTokens/4)))
	assert.Equal(t, len(long), 4)
	assert.Equal(t, c.match(long), 0)
	c.insert(long)
	assert.Equal(t, c.match(long), 4)
	other := hashBlocks(strings.Fields(strings.Repeat("x ", 2*blockTokens+1)))
	c.insert(other)
	assert.Equal(t, c.match(other), 2)
	assert.Equal(t, c.match(long), 2, "a prefix is evicted after its extensions")
	for i := range 2 * dropInterval {
		c.insert([]uint64{uint64(i)})
	}
	sequence := c.sequence
	assert.Equal(t, len(c.eventsBetween(0, time.Now().Add(time.Hour))), int(sequence)-int(sequence)/dropInterval)
	assert.Equal(t, len(c.eventsBetween(0, time.Now().Add(-time.Hour))), 0)
}

// TestBatch steps the engine manually to check slots, priorities, prefill and cache hits.
func TestBatch(t *testing.T) {
	var faults fault.Injector
	runs := fault.NewRunCounter()
	e := newEngine(Options{
		Slots:       1,
		Step:        time.Millisecond,
		PrefillRate: 1000,
		CacheBlocks: 8,
	}, &faults, runs)
	p := chatRequest{Messages: []message{{Role: "user", Content: json.RawMessage(`"` + strings.Repeat("w ", 31) + `"`)}}}
	job := func(id, priority string) *job {
		j := newJob(http.Header{
			"X-Request-Id": {id},
			"X-Priority":   {priority},
		}, p, true)
		j.total = 2
		e.submit(j)
		return j
	}
	report, urgent := job("report", "2"), job("urgent", "0")
	steps := func(n int) {
		for range n {
			e.scheduleStep()
			e.runStep(8 * time.Millisecond)
		}
	}
	steps(4)
	assert.Equal(t, urgent.prefillLeft, 0)
	assert.Equal(t, urgent.produced.Load(), int64(0))
	steps(2)
	assert.Equal(t, urgent.produced.Load(), int64(2))
	assert.Equal(t, report.produced.Load(), int64(0))
	steps(2)
	assert.Equal(t, report.cachedTokens, 32)
	assert.Equal(t, report.produced.Load(), int64(2))
	assert.Equal(t, e.scheduleStep(), time.Duration(0))
	got := runs.Report()
	assert.Equal(t, got.ColdPrefills, 1)
	assert.Equal(t, got.PromptTokens, 64)
	assert.Equal(t, got.CachedTokens, 32)
	assert.Equal(t, got.GeneratedTokens, 4)
}

// TestLateTimersKeepPace guards against an engine that takes a multiple of its step time where
// timers fire later than a step lasts.
func TestLateTimersKeepPace(t *testing.T) {
	const (
		step    = 100 * time.Microsecond
		steps   = 1000
		timer   = time.Millisecond
		stopped = 10 * time.Second
	)
	start := time.Unix(0, 0)
	next, now := start, start
	for range steps {
		next = nextStep(next, now, step)
		if next.After(now) {
			now = next.Add(timer)
		}
	}
	assert.Assert(t, now.Sub(start) <= steps*step+timer, now.Sub(start))
	now = now.Add(stopped)
	next = nextStep(next, now, step)
	assert.Equal(t, now.Sub(next), maxLateness)
}
