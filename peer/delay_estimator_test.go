package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
)

var epoch = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

// delayRow is a case of testdata/transit.json: messages of one VM, and the delay
// expected for each. Ahead is the offset of the sender's clock.
type delayRow struct {
	Name     string
	Ahead    string
	Messages []struct {
		Sent        string
		Took        string
		Incarnation uint64
		Unstamped   bool
	}
	Held []string
}

func TestDelayEstimator(t *testing.T) {
	for _, row := range datatest.Read[[]delayRow](t, "testdata/transit.json") {
		t.Run(row.Name, row.run)
	}
}

func (row delayRow) run(t *testing.T) {
	now := epoch
	estimator := NewDelayEstimator(func() time.Time { return now })
	origin := 1000 * time.Hour
	if row.Ahead != "" {
		origin += duration(t, row.Ahead)
	}
	for i, m := range row.Messages {
		sent := duration(t, m.Sent)
		now = epoch.Add(sent + duration(t, m.Took))
		stamp := uint64((origin + sent).Microseconds())
		if m.Unstamped {
			stamp = 0
		}
		delay := now.Sub(estimator.SentAt("far", max(m.Incarnation, 1), stamp))
		// Rounding hides the tolerated clock drift.
		assert.Equal(t, delay.Round(10*time.Millisecond), duration(t, row.Held[i]), "message %d", i)
	}
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// blockingLink is a connection between two VMs that holds back data while blocked, as
// connections do that survive a network partition.
type blockingLink struct {
	target    string
	mu        sync.Mutex
	unblocked *sync.Cond
	blocked   bool
	// mark selects the data that is held back and signalled on blockedWrites; other data,
	// such as the end of an earlier call, passes.
	mark          []byte
	blockedWrites chan struct{}
}

func newBlockingLink(target, mark string) *blockingLink {
	w := &blockingLink{
		target:        target,
		mark:          []byte(mark),
		blockedWrites: make(chan struct{}, 16),
	}
	w.unblocked = sync.NewCond(&w.mu)
	return w
}

func (w *blockingLink) setBlocked(blocked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked = blocked
	w.unblocked.Broadcast()
}

func (w *blockingLink) dial(ctx context.Context, _ string) (net.Conn, error) {
	var d net.Dialer
	remote, err := d.DialContext(ctx, "tcp", w.target)
	if err != nil {
		return nil, err
	}
	near, here := net.Pipe()
	go w.copyData(remote, here)
	go func() { _, _ = io.Copy(here, remote) }()
	return near, nil
}

func (w *blockingLink) copyData(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		w.waitUnblocked(buffer[:n])
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (w *blockingLink) waitUnblocked(data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !bytes.Contains(data, w.mark) {
		return
	}
	if w.blocked {
		w.blockedWrites <- struct{}{}
	}
	for w.blocked {
		w.unblocked.Wait()
	}
}

// TestHeldForward checks that the time which a call is held up in the network counts
// against its deadlines at the remote VM.
func TestHeldForward(t *testing.T) {
	clock := &fakeClock{
		now: epoch,
	}
	received := make(chan *call.Call, 1)
	addr := startServer(t, clock, received)
	link := newBlockingLink(addr, "held-call")
	client := New(Options{
		Dial: link.dial,
		Now:  clock.Now,
	})
	defer func() { _ = client.Close() }()
	forward := func(id string) { forwardRouted(t, client, clock, id) }

	forward("first-call")
	prompt := <-received
	assert.Equal(t, prompt.Deadline, epoch.Add(2400*time.Millisecond))
	assert.Equal(t, prompt.Routed.ArrivedAt, epoch.Add(-300*time.Millisecond))
	assert.Equal(t, prompt.Routed.ObjectiveFrom, epoch.Add(-500*time.Millisecond))

	link.setBlocked(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		forward("held-call")
	}()
	<-link.blockedWrites
	clock.advance(3 * time.Second)
	link.setBlocked(false)
	delayed := <-received
	<-done
	// Rounding hides the tolerated clock drift.
	overdue := clock.Now().Sub(delayed.Deadline).Round(10 * time.Millisecond)
	assert.Equal(t, overdue, 600*time.Millisecond)
	assert.Assert(t, delayed.Routed.CallerDeadline.Before(clock.Now()))
}

func startServer(t *testing.T, clock *fakeClock, received chan<- *call.Call) string {
	server, err := NewServer(Handlers{
		Forward: func(_ context.Context, _ *peerpb.Identity, c *call.Call, _ call.Sink) call.Outcome {
			received <- c
			return call.Refused(result.Refuse(result.NoEndpoint, "none"))
		},
		Stamp:   func() uint64 { return 0 },
		Witness: func(uint64) {},
		Now:     clock.Now,
	})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, ln) }()
	return ln.Addr().String()
}

// forwardRouted forwards a routed call whose deadline is 2.4 s ahead.
func forwardRouted(t *testing.T, client *Client, clock *fakeClock, id string) {
	now := clock.Now()
	c := &call.Call{
		ID:       id,
		Kind:     call.KindRouted,
		Deadline: now.Add(2400 * time.Millisecond),
		Routed: &call.Routed{
			ArrivedAt:      now.Add(-300 * time.Millisecond),
			ObjectiveFrom:  now.Add(-500 * time.Millisecond),
			CallerDeadline: now.Add(2400 * time.Millisecond),
		},
	}
	client.Forward(t.Context(), fleet.VM{
		ID:       "far",
		PeerAddr: "far",
	}, &peerpb.ForwardRequest{
		From: &peerpb.Identity{
			Vm:          "near",
			Incarnation: 1,
		},
		Call: CallToProto(c, now),
	}, call.Sink{
		Head:  func(int, http.Header) error { return nil },
		Chunk: func([]byte) error { return nil },
	}, func(uint64) {})
}
