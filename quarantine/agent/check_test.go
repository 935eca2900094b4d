package agent

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
)

// fakeDialer returns one outcome per dial, after dialTime; the last one repeats.
type fakeDialer struct {
	mu       sync.Mutex
	outcomes []error
	looks    int
}

// dialTime has all calls that one crash interrupts arrive before the dial ends.
const dialTime = time.Millisecond

func (d *fakeDialer) dial(context.Context, string) error {
	time.Sleep(dialTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.outcomes[min(d.looks, len(d.outcomes)-1)]
	d.looks++
	return err
}

// TestEndpointCheck checks that an endpoint counts as crashed only if nothing listens
// at its address, and that the calls interrupted by one crash share one check.
func TestEndpointCheck(t *testing.T) {
	timeout := errors.New("i/o timeout")
	for _, c := range []struct {
		name     string
		outcomes []error
		// leaves is set if the endpoint is published as draining.
		leaves bool
		want   checkState
		looks  int
	}{
		{name: "nothing listens", outcomes: []error{syscall.ECONNREFUSED}, want: stateCrashed, looks: 1},
		{name: "endpoint stopped as planned", outcomes: []error{syscall.ECONNREFUSED}, leaves: true, want: stateLeft, looks: 1},
		{name: "endpoint answers", outcomes: []error{nil}, want: stateAnswers, looks: 1},
		{name: "one packet lost", outcomes: []error{timeout, syscall.ECONNREFUSED}, want: stateCrashed, looks: 2},
		{name: "partitioned", outcomes: []error{timeout}, want: stateSilent, looks: maxDials},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDialer{outcomes: c.outcomes}
				var lines bytes.Buffer
				a := New(Options{
					VM:             "a",
					Log:            slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelDebug})),
					Now:            time.Now,
					Dial:           d.dial,
					Published:      func(fleet.Endpoint) bool { return !c.leaves },
					VMs:            func() ([]quarantine.Peer, bool) { return nil, false },
					OnCountChanged: func(quarantine.Counts) {},
				})
				ctx, stop := context.WithCancel(t.Context())
				go func() { _ = a.Run(ctx) }()
				e := fleet.Endpoint{ID: "e", Incarnation: 1}
				for content := range call.Subject(5) {
					a.ConnectionLost(cutRun([]call.Subject{content}, e))
				}
				time.Sleep(maxDials * (dialTimeout + dialInterval))
				stop()
				synctest.Wait()
				assert.Assert(t, strings.Contains(lines.String(), "state="+string(c.want)+" calls=5\n"), lines.String())
				assert.Equal(t, d.looks, c.looks)
			})
		})
	}
}
