package endpoint

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	client "github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// BenchmarkStreams measures 2,000 concurrent streams through the gateway's
// client. One operation is one stream.
func BenchmarkStreams(b *testing.B) {
	const atOnce = 2000
	e := New(Options{
		Slots:       atOnce,
		Step:        5 * time.Millisecond,
		PrefillRate: 1 << 30,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = e.Serve(b.Context(), listener) }()
	c := client.New(client.Options{
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: atOnce}},
	})
	var group sync.WaitGroup
	turns := make(chan struct{}, atOnce)
	n := 0
	for b.Loop() {
		turns <- struct{}{}
		n++
		id := fmt.Sprintf("call-%d", n)
		group.Go(func() {
			defer func() { <-turns }()
			o := c.Send(b.Context(), client.Attempt{
				ID:       id,
				Endpoint: fleet.Endpoint{Addr: listener.Addr().String()},
				Call:     newCall(true, 40),
			}, client.Sink{
				Head:  func(int, http.Header) error { return nil },
				Chunk: func([]byte) error { return nil },
			})
			assert.Check(b, o.Code == result.Done, "%v", o.Err)
		})
	}
	group.Wait()
	b.ReportMetric(float64(e.runs.Report().GeneratedTokens)/b.Elapsed().Seconds(), "tokens/s")
}
