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

// transitRow is one row of testdata/transit.json: messages of one VM, and by how
// much each counts as held up. ahead is what the sender's clock differs.
type transitRow struct {
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

func TestTransit(t *testing.T) {
	for _, row := range datatest.Read[[]transitRow](t, "testdata/transit.json") {
		t.Run(row.Name, row.run)
	}
}

func (row transitRow) run(t *testing.T) {
	now := epoch
	transit := NewTransit(func() time.Time { return now })
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
		held := now.Sub(transit.SentAt("far", max(m.Incarnation, 1), stamp))
		// The drift that is allowed for is below this.
		assert.Equal(t, held.Round(10*time.Millisecond), duration(t, row.Held[i]), "message %d", i)
	}
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// steadyClock is a clock that a test moves.
type steadyClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *steadyClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *steadyClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// holdingWay is a way between two VMs that keeps what is under way until it is
// released, as connections do that live through a cut.
type holdingWay struct {
	target string
	mu     sync.Mutex
	free   *sync.Cond
	held   bool
	// mark is in the first piece that is held, of which waits is told. What ends the call
	// before may be under way yet, and passes.
	mark  []byte
	waits chan struct{}
}

func newHoldingWay(target, mark string) *holdingWay {
	w := &holdingWay{
		target: target,
		mark:   []byte(mark),
		waits:  make(chan struct{}, 16),
	}
	w.free = sync.NewCond(&w.mu)
	return w
}

func (w *holdingWay) set(held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = held
	w.free.Broadcast()
}

func (w *holdingWay) dial(ctx context.Context, _ string) (net.Conn, error) {
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", w.target)
	if err != nil {
		return nil, err
	}
	near, here := net.Pipe()
	go w.pass(far, here)
	go func() { _, _ = io.Copy(here, far) }()
	return near, nil
}

func (w *holdingWay) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		w.await(buffer[:n])
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (w *holdingWay) await(piece []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !bytes.Contains(piece, w.mark) {
		return
	}
	if w.held {
		w.waits <- struct{}{}
	}
	for w.held {
		w.free.Wait()
	}
}

// TestHeldForward holds a call on its way for three seconds and releases it.
// Its deadlines at the far VM must count them, in full.
func TestHeldForward(t *testing.T) {
	clock := &steadyClock{
		now: epoch,
	}
	came := make(chan *call.Call, 1)
	addr := listenFor(t, clock, came)
	way := newHoldingWay(addr, "held-call")
	client := New(Options{
		Dial: way.dial,
		Now:  clock.Now,
	})
	defer func() { _ = client.Close() }()
	forward := func(id string) { forwardRouted(t, client, clock, id) }

	forward("first-call")
	assert.Equal(t, (<-came).WholeBy, epoch.Add(2400*time.Millisecond))

	way.set(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		forward("held-call")
	}()
	<-way.waits
	clock.advance(3 * time.Second)
	way.set(false)
	held := <-came
	<-done
	// The way's own 0 s and the drift allowed for are below this.
	late := clock.Now().Sub(held.WholeBy).Round(10 * time.Millisecond)
	assert.Equal(t, late, 600*time.Millisecond)
	assert.Assert(t, held.Routed.CallerBy.Before(clock.Now()))
}

func listenFor(t *testing.T, clock *steadyClock, came chan<- *call.Call) string {
	server, err := NewServer(Handlers{
		Forward: func(_ context.Context, _ *peerpb.Identity, c *call.Call, _ call.Sink) call.Outcome {
			came <- c
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

// forwardRouted sends a call with 2.4 s left.
func forwardRouted(t *testing.T, client *Client, clock *steadyClock, id string) {
	now := clock.Now()
	c := &call.Call{
		ID:      id,
		Kind:    call.KindRouted,
		WholeBy: now.Add(2400 * time.Millisecond),
		Routed: &call.Routed{
			CallerBy: now.Add(2400 * time.Millisecond),
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
		Call: CallMessage(c, now),
	}, call.Sink{
		Head:  func(int, http.Header) error { return nil },
		Chunk: func([]byte) error { return nil },
	}, func(uint64) {})
}
