package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/caller"
	"github.com/fuchsianotch/fuchsianotch/standin/endpoint"
	"github.com/fuchsianotch/fuchsianotch/standin/service"
)

func readTable[T any](t *testing.T, path string) []T {
	t.Helper()
	rows := datatest.Read[[]T](t, path)
	return rows
}

type scheduleRow struct {
	Name     string         `json:"name"`
	Regions  []float64      `json:"regions"`
	Rate     float64        `json:"rate"`
	Peak     float64        `json:"peak"`
	Day      jsonc.Duration `json:"day"`
	MaxCalls int            `json:"max_calls"`
	Error    string         `json:"error"`
	// The rest are inclusive ranges. Share is the fraction of calls from the
	// first region, FirstHalf that of calls in the first half of the run, and
	// PeakShare that of the first region's calls within a quarter day of its peak.
	Calls     [2]int     `json:"calls"`
	Share     [2]float64 `json:"share"`
	FirstHalf [2]float64 `json:"first_half"`
	PeakShare [2]float64 `json:"peak_share"`
}

func (row scheduleRow) options() Options {
	o := Options{
		Seed:      7,
		Rate:      row.Rate,
		Duration:  20 * time.Second,
		DayLength: row.Day.Duration,
		Peak:      row.Peak,
		Mix:       tesfaye(),
		MaxCalls:  row.MaxCalls,
	}
	if o.DayLength > 0 {
		o.Duration = o.DayLength
		o.Rate /= 2
	}
	for _, share := range row.Regions {
		o.Targets.Regions = append(o.Targets.Regions, Region{
			Region:     "r",
			Share:      share,
			VMs:        []string{"127.0.0.1:1"},
			Workspaces: make([]Workspace, 5),
		})
	}
	return o
}

func TestSchedule(t *testing.T) {
	for _, row := range readTable[scheduleRow](t, "testdata/schedule.json") {
		t.Run(row.Name, func(t *testing.T) {
			r, err := New(row.options())
			if row.Error != "" {
				assert.ErrorContains(t, err, row.Error)
				return
			}
			assert.NilError(t, err)
			again, err := New(row.options())
			assert.NilError(t, err)
			assert.Equal(t, len(r.arrivals), len(again.arrivals))
			row.assertArrivals(t, r.arrivals)
			for i := range r.arrivals {
				assert.Equal(t, r.arrivals[i].Marker, again.arrivals[i].Marker)
				assert.Equal(t, r.arrivals[i].Offset, again.arrivals[i].Offset)
			}
		})
	}
}

func (row scheduleRow) assertArrivals(t *testing.T, arrivals []Arrival) {
	t.Helper()
	o := row.options()
	var first, early, peak float64
	for i, a := range arrivals {
		assert.Assert(t, i == 0 || a.Offset >= arrivals[i-1].Offset)
		if a.Offset < o.Duration/2 {
			early++
		}
		if a.Region != 0 {
			continue
		}
		first++
		if a.Offset < o.Duration/4 || a.Offset > 3*o.Duration/4 {
			peak++
		}
	}
	n := float64(len(arrivals))
	assertInRange(t, "calls", n, [2]float64{float64(row.Calls[0]), float64(row.Calls[1])})
	assertInRange(t, "share of the first region", first/n, row.Share)
	assertInRange(t, "first half", early/n, row.FirstHalf)
	if row.PeakShare[1] > 0 {
		assertInRange(t, "peak of the first region", peak/first, row.PeakShare)
	}
}

func assertInRange(t *testing.T, what string, got float64, want [2]float64) {
	t.Helper()
	assert.Assert(t, got >= want[0] && got <= want[1], "%s: %v is not in %v", what, got, want)
}

type callRow struct {
	Name   string         `json:"name"`
	Text   string         `json:"text"`
	Late   jsonc.Duration `json:"late"`
	First  jsonc.Duration `json:"first"`
	Whole  jsonc.Duration `json:"whole"`
	Class  result.Class   `json:"class"`
	Right  bool           `json:"right"`
	InTime bool           `json:"in_time"`
}

// TestCalls checks that latencies count from the scheduled arrival.
func TestCalls(t *testing.T) {
	due := time.Unix(1000, 0)
	for _, row := range readTable[callRow](t, "testdata/calls.json") {
		t.Run(row.Name, func(t *testing.T) {
			a := &Arrival{
				Marker:    "s1-0",
				MaxTokens: 2,
				Kind: &Kind{
					FirstWithin: 50 * time.Millisecond,
					Within:      100 * time.Millisecond,
				},
			}
			r := caller.Result{
				Text:      row.Text,
				Class:     row.Class,
				StartedAt: due.Add(row.Late.Duration),
				DoneAt:    due.Add(row.Whole.Duration),
			}
			if row.First.Duration > 0 {
				r.FirstAt = due.Add(row.First.Duration)
			}
			c := newCall(a, due, r)
			assert.Equal(t, c.Correct, row.Right)
			assert.Equal(t, c.InTime, row.InTime)
			assert.Equal(t, c.TotalLatency, row.Whole.Duration)
		})
	}
}

// TestDirect sends every mix directly to endpoints, and checks that all answers
// are correct and that the endpoints' counters match the record.
func TestDirect(t *testing.T) {
	targets := Targets{
		Model:   "m",
		Service: "s",
		Regions: []Region{
			{
				Region:     "home",
				VMs:        []string{"127.0.0.1:1"},
				Workspaces: make([]Workspace, 1),
			},
		},
		Endpoints: []Endpoint{
			{
				Region: "home",
				Addr:   serveEndpoint(t),
			},
			{
				Region:  "home",
				Addr:    serveHandler(t, service.New(service.Options{}).Handler()),
				Service: true,
			},
		},
	}
	client := caller.NewClient()
	t.Cleanup(client.CloseIdleConnections)
	for _, name := range MixNames() {
		mix, ok := FindMix(name)
		assert.Assert(t, ok)
		r, err := New(Options{
			Seed:     3,
			Rate:     300,
			Duration: 200 * time.Millisecond,
			Mix:      mix,
			Targets:  targets,
			Direct:   true,
			Client:   client,
		})
		assert.NilError(t, err)
		record := r.Measure(t.Context())
		assert.Equal(t, record.Done, len(r.arrivals), "%v", record.Codes)
		assert.Equal(t, record.Incorrect+record.Unknown+record.Shed, 0)
		assert.Equal(t, record.Endpoints[0].Runs+record.serviceCalls(r), len(r.arrivals))
		assert.Equal(t, record.Runs.Operations, r.nonIdempotentCalls())
		var table strings.Builder
		assert.NilError(t, WriteTable(&table, record))
		assert.Assert(t, strings.Contains(table.String(), mix.Kinds[0].Name))
	}
}

func (record *Record) serviceCalls(r *Run) int {
	n := 0
	for _, a := range r.arrivals {
		if a.Kind.Service {
			n++
		}
	}
	return n
}

func (r *Run) nonIdempotentCalls() int {
	n := 0
	for _, a := range r.arrivals {
		if a.Kind.Ticket {
			n++
		}
	}
	return n
}

func serveEndpoint(t *testing.T) string {
	t.Helper()
	e := endpoint.New(endpoint.Options{
		Model: "m",
		Step:  100 * time.Microsecond,
	})
	server := httptest.NewUnstartedServer(nil)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- e.Serve(ctx, server.Listener) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-stopped)
	})
	return server.Listener.Addr().String()
}

func serveHandler(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestSumCounter(t *testing.T) {
	text := "# HELP a_total x\na_total{to=\"x\"} 3\na_total{to=\"y y\"} 4.5\na_total_more 9\nb 7\n"
	assert.Equal(t, SumCounter(text, "a_total"), 7.5)
	assert.Equal(t, SumCounter(text, "b"), 7.0)
	assert.Equal(t, SumCounter(text, "c"), 0.0)
}
