package agent

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// noteLatency is the time that a note takes between two VMs.
const noteLatency = 80 * time.Millisecond

// testFleet is a fleet of agents.
type testFleet struct {
	order []quarantine.Peer
	byVM  map[string]*Agent
	mu    sync.Mutex
	held  map[string]int
}

// startFleet starts agents whose endpoints have all crashed.
func startFleet(ctx context.Context, names ...string) *testFleet {
	f := &testFleet{
		byVM: make(map[string]*Agent),
		held: make(map[string]int),
	}
	for _, name := range names {
		f.order = append(f.order, quarantine.Peer{
			VM:          fleet.VM{ID: name, Region: name[:1]},
			Incarnation: 1,
		})
		f.byVM[name] = New(Options{
			VM:        name,
			Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
			Now:       time.Now,
			Dial:      func(context.Context, string) error { return syscall.ECONNREFUSED },
			Published: func(fleet.Endpoint) bool { return true },
			VMs:       func() ([]quarantine.Peer, bool) { return f.order, false },
			Send: func(_ context.Context, to fleet.VM, n quarantine.Note) error {
				time.Sleep(noteLatency)
				f.byVM[to.ID].Receive(n)
				return nil
			},
			OnCountChanged: func(held int) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.held[name] = held
			},
		})
	}
	for _, a := range f.byVM {
		go func() { _ = a.Run(ctx) }()
	}
	return f
}

// count returns the number of quarantined calls that a VM last reported.
func (f *testFleet) count(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held[name]
}

// TestAllVMsQuarantineCall checks that all VMs refuse a call soon after the third
// endpoint crashed while running it, and admit other calls that these endpoints ran.
func TestAllVMsQuarantineCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		f := startFleet(ctx, "a1", "a2", "b1", "b2", "c1")
		for i, name := range []string{"a1", "b2", "c1"} {
			e := fleet.Endpoint{ID: name, Incarnation: int64(i)}
			f.byVM[name].ConnectionLost(7, e, time.Time{})
			f.byVM[name].ConnectionLost(uint64(100+i), e, time.Time{})
			// This answer had lasted too long for the call to be the cause.
			f.byVM[name].ConnectionLost(8, e, time.Now().Add(-10*time.Second))
			time.Sleep(300 * time.Millisecond)
		}
		for name, a := range f.byVM {
			refusal, trial := a.Admit(7)
			assert.Assert(t, refusal != nil && !trial, name)
			assert.Equal(t, refusal.Code, result.Quarantined)
			for _, other := range []uint64{8, 100, 101, 102} {
				refusal, _ := a.Admit(other)
				assert.Assert(t, refusal == nil, "%s holds %d", name, other)
			}
			assert.Equal(t, f.count(name), 1)
		}
	})
}

// TestOneTrialPerRegion checks that one trial is admitted per region, and that all VMs
// admit the call again after a trial succeeded.
func TestOneTrialPerRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		f := startFleet(ctx, "a1", "a2", "b1")
		for i := range 3 {
			f.byVM["a1"].ConnectionLost(7, fleet.Endpoint{ID: "e", Incarnation: int64(i)}, time.Time{})
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(90 * time.Second)
		trials := 0
		for _, a := range f.byVM {
			for range 3 {
				if _, trial := a.Admit(7); trial {
					trials++
				}
			}
		}
		// One trial in each of the two regions, which are both allowed one by now.
		assert.Equal(t, trials, 2)
		f.byVM["a2"].Succeeded(7)
		time.Sleep(time.Second)
		for name, a := range f.byVM {
			refusal, _ := a.Admit(7)
			assert.Assert(t, refusal == nil, name)
		}
	})
}

// BenchmarkAdmit measures Admit while no call is quarantined.
func BenchmarkAdmit(b *testing.B) {
	a := New(Options{VM: "a"})
	b.ReportAllocs()
	for i := range b.N {
		if refusal, _ := a.Admit(uint64(i)); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
