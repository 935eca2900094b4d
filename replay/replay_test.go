package replay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// outcomeCase is a VM's response, the expected outcome and the reported one; an
// empty Got means that the expectation is met.
type outcomeCase struct {
	Name   string `json:"name"`
	Result string `json:"result"`
	Body   string `json:"body"`
	Stream bool   `json:"stream"`
	// Missing is the number of bytes by which the body is shorter than Content-Length.
	Missing int    `json:"missing"`
	Expect  Expect `json:"expect"`
	Got     string `json:"got"`
}

// invalidStepCase replaces Old by New in validStep and has the prefix of the problem.
type invalidStepCase struct {
	Name    string `json:"name"`
	Old     string `json:"old"`
	New     string `json:"new"`
	Problem string `json:"problem"`
}

const validStep = `{"at": "2030-01-01T00:00:00Z", "call": {"workspace": "club", "method": "GET", "path": "/v1/x"}, "expect": {"code": 1000}}`

func readTable[T any](t *testing.T, path string) []T {
	t.Helper()
	rows := datatest.Read[[]T](t, path)
	return rows
}

func TestReadInvalid(t *testing.T) {
	for _, c := range readTable[invalidStepCase](t, "testdata/refused.json") {
		t.Run(c.Name, func(t *testing.T) {
			assert.Equal(t, strings.Count(validStep, c.Old), 1)
			_, problem := Read("trace", []byte(validStep+"\n// next\n"+strings.Replace(validStep, c.Old, c.New, 1)))
			assert.Assert(t, problem != nil)
			assert.Assert(t, strings.HasPrefix(problem.Error(), "trace:3: "+c.Problem), problem.Error())
		})
	}
	_, problem := Read("trace", []byte("// nothing\n\n"))
	assert.Assert(t, problem != nil)
}

func newReplay(server *httptest.Server, wait func(context.Context, time.Time)) *Replay {
	addr := server.Listener.Addr().String()
	return New(Options{
		HTTP:      server.Client(),
		VMs:       []string{addr},
		Endpoints: []string{addr},
		Keys: []Key{
			{
				Workspace: "club",
				Secret:    "secret",
			},
		},
		Speed: 10,
		Now:   func() time.Time { return time.Unix(1000, 0) },
		Wait:  wait,
	})
}

func noWait(context.Context, time.Time) {}

func TestOutcomes(t *testing.T) {
	for _, c := range readTable[outcomeCase](t, "testdata/answers.json") {
		t.Run(c.Name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.Result != "" {
					w.Header().Set("Fuchsianotch-Result", c.Result)
				}
				if c.Stream {
					w.Header().Set("Content-Type", "text/event-stream")
				}
				w.Header().Set("Content-Length", strconv.Itoa(len(c.Body)+c.Missing))
				_, _ = w.Write([]byte(c.Body))
			}))
			defer server.Close()
			steps, problem := Read("trace", []byte(validStep))
			assert.Assert(t, problem == nil, "%v", problem)
			steps[0].Expect = c.Expect
			report := newReplay(server, noWait).Run(t.Context(), steps)
			got := ""
			for _, m := range report.Mismatches {
				got = m.Got
			}
			assert.Equal(t, got, c.Got)
			assert.Equal(t, report.Unanswered == 1, strings.HasPrefix(c.Got, "error: "))
		})
	}
}

// TestTicketReuseAndTimeShift guards against a second request for the same ticket, wrong
// replay times and deadlines, and miscounted runs.
func TestTicketReuseAndTimeShift(t *testing.T) {
	var mu sync.Mutex
	var ticketRequests int
	var tickets, deadlines []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		assert.Check(t, r.URL.Path == "/admin/runs" || r.Header.Get("Authorization") == "Bearer club.secret")
		w.Header().Set("Fuchsianotch-Result", "1000")
		switch r.URL.Path {
		case "/v1/tickets":
			ticketRequests++
			_, _ = fmt.Fprintf(w, `{"ticket": "t%d"}`, ticketRequests)
		case "/admin/runs":
			_, _ = fmt.Fprint(w, `{"runs": {"k": 3}}`)
		default:
			tickets = append(tickets, r.Header.Get("Fuchsianotch-Ticket"))
			deadlines = append(deadlines, r.Header.Get("Fuchsianotch-Deadline"))
		}
	}))
	defer server.Close()
	step := `{"at": "2030-01-01T00:00:0%dZ", "call": {"workspace": "club", "method": "POST", "path": "/v1/x", "ticket": "a", "idempotency_key": "k", "deadline": "2030-01-01T00:00:0%dZ"}, "expect": {"class": "done", "runs": %d}}`
	trace := fmt.Sprintf(step+"\n"+step, 2, 4, 3, 1, 3, 1)
	steps, problem := Read("trace", []byte(trace))
	assert.Assert(t, problem == nil, "%v", problem)
	var waits []time.Time
	report := newReplay(server, func(_ context.Context, until time.Time) {
		mu.Lock()
		defer mu.Unlock()
		waits = append(waits, until)
	}).Run(t.Context(), steps)
	assert.Equal(t, ticketRequests, 1)
	assert.DeepEqual(t, tickets, []string{"t1", "t1"})
	start := time.Unix(1000, 0)
	for _, at := range []time.Time{start, start.Add(100 * time.Millisecond)} {
		assert.Assert(t, slices.ContainsFunc(waits, at.Equal), "%v", waits)
		assert.Assert(t, slices.ContainsFunc(parseTimes(t, deadlines), at.Add(2*time.Second).Equal), "%v", deadlines)
	}
	assert.DeepEqual(t, report.Mismatches, []Mismatch{
		{
			Line: 2,
			Want: "1 runs of k",
			Got:  "3 runs",
		},
	})
}

func parseTimes(t *testing.T, texts []string) []time.Time {
	t.Helper()
	var times []time.Time
	for _, text := range texts {
		at, err := time.Parse(time.RFC3339Nano, text)
		assert.NilError(t, err)
		times = append(times, at)
	}
	return times
}
