package endpoint

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// BenchmarkChunk measures the time to read, validate and forward one chunk.
func BenchmarkChunk(b *testing.B) {
	const chunks = 1000
	token := `data: {"id":"chatcmpl-own","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n"
	body := strings.Repeat(token, chunks) +
		`data: {"id":"chatcmpl-own","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	x := exchange{
		client: New(Options{Now: func() time.Time { return time.Time{} }}),
		attempt: Attempt{
			ID:   "own",
			Call: &call.Call{},
		},
		sink: Sink{
			Head:  func(int, http.Header) error { return nil },
			Chunk: func([]byte) error { return nil },
		},
	}
	b.ReportAllocs()
	for b.Loop() {
		refusal := x.receiveStream(&http.Response{
			Header: http.Header{"Content-Type": {eventStream}},
			Body:   io.NopCloser(strings.NewReader(body)),
		})
		if refusal != nil && refusal.Code != result.Done {
			b.Fatal(refusal)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*chunks), "ns/chunk")
}
