package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalledWriter blocks every write until unblock is closed.
type stalledWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestStalledOutput checks that logging does not block while the output stalls,
// and that dropped lines are counted and reported.
func TestStalledOutput(t *testing.T) {
	out := &stalledWriter{unblock: make(chan struct{})}
	w := New(Options{Output: out, BufferLines: 8})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			w.Logger().Info("line")
		}
	}()
	<-done
	assert.Assert(t, w.Dropped() >= 1000-8-1)
	close(out.unblock)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	w.Close(ctx)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, strings.Contains(out.text.String(), `"msg":"lines_dropped"`), out.text.String())
	w.Logger().Info("after the end")
}

// TestTrail checks that a successful request logs nothing unless it is sampled,
// and that a failed one logs all its lines in order.
func TestTrail(t *testing.T) {
	for _, c := range []struct {
		name    string
		sampled bool
		fails   bool
		want    string
	}{
		{name: "goes well"},
		{name: "sampled", sampled: true, want: "arrived chosen ended"},
		{name: "fails", fails: true, want: "arrived chosen failed ended"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			trail := NewRequestLog(slog.New(slog.NewJSONHandler(&out, nil)), "r1", c.sampled)
			trail.Add("arrived")
			trail.Add("chosen", slog.Int("attempt", 1))
			if c.fails {
				trail.Fail("failed")
			}
			trail.Add("ended")
			assert.Equal(t, strings.Join(events(t, &out), " "), c.want)
		})
	}
	var none *RequestLog
	none.Add("nothing")
	none.Fail("nothing")
}

func events(t *testing.T, out io.Reader) []string {
	t.Helper()
	var got []string
	d := json.NewDecoder(out)
	for {
		var line struct {
			Msg     string
			Request string
		}
		if err := d.Decode(&line); err != nil {
			return got
		}
		assert.Equal(t, line.Request, "r1")
		got = append(got, line.Msg)
	}
}

// BenchmarkRequest measures the cost of logging one request when logging is off,
// when its lines are buffered and discarded, and when they are written.
func BenchmarkRequest(b *testing.B) {
	w := New(Options{Output: io.Discard})
	for _, c := range []struct {
		name  string
		trail func() *RequestLog
	}{
		{name: "off", trail: func() *RequestLog { return nil }},
		{name: "sampled_out", trail: func() *RequestLog { return NewRequestLog(w.Logger(), "r", false) }},
		{name: "full", trail: func() *RequestLog { return NewRequestLog(w.Logger(), "r", true) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				trail := c.trail()
				trail.Add("call_arrived", slog.String("service", "s"), slog.Int("rank", 1))
				trail.Add("endpoint_chosen", slog.String("endpoint", "e"), slog.Int64("expected_first_ms", 10))
				trail.Add("call_ended", slog.Int("code", 1000), slog.Int64("took_ms", 100))
			}
		})
	}
}
