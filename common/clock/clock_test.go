package clock

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// fakeVM holds the clocks of a VM, which the test advances.
type fakeVM struct {
	start     time.Time
	monotonic time.Duration
	wall      time.Duration
	boot      time.Duration
}

func (m *fakeVM) read() (wall time.Time, monotonic time.Duration) {
	return m.start.Add(m.wall).Round(0), m.monotonic
}

type step struct {
	// Runs and Suspended are how long the VM runs and is suspended, and Set is the change
	// of its wall clock, in milliseconds.
	Runs      int64
	Suspended int64
	Set       int64
	// Want is the expected time since the start, in milliseconds.
	Want int64
	// Woken is the suspension passed to OnResume, in milliseconds.
	Woken int64
}

// TestNow guards against a clock that misses a suspension or follows a change of the wall
// clock.
func TestNow(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name  string
		Steps []step
	}](t, "testdata/clock.json") {
		t.Run(c.Name, func(t *testing.T) {
			m := &fakeVM{start: time.Now()}
			clock := New(Options{
				Read:      m.read,
				SinceBoot: func() (time.Duration, error) { return m.boot, nil },
			})
			woken := make(chan time.Duration, len(c.Steps))
			clock.OnResume(func(d time.Duration) { woken <- d })
			start := clock.Now()
			for i, s := range c.Steps {
				m.monotonic += time.Duration(s.Runs) * time.Millisecond
				m.wall += time.Duration(s.Runs+s.Suspended+s.Set) * time.Millisecond
				m.boot += time.Duration(s.Runs+s.Suspended) * time.Millisecond
				assert.Equal(t, clock.Now().Sub(start).Milliseconds(), s.Want, "step %d", i)
				if s.Woken > 0 {
					assert.Equal(t, (<-woken).Milliseconds(), s.Woken, "step %d", i)
				}
			}
			assert.Equal(t, len(woken), 0)
		})
	}
}

// TestNowWithoutBootClock checks that Now is the monotonic time where there is no boot clock.
func TestNowWithoutBootClock(t *testing.T) {
	m := &fakeVM{start: time.Now()}
	clock := New(Options{
		Read:      m.read,
		SinceBoot: func() (time.Duration, error) { return 0, errors.ErrUnsupported },
	})
	start := clock.Now()
	m.monotonic += time.Second
	m.wall += time.Hour
	assert.Equal(t, clock.Now().Sub(start), time.Second)
}

// TestSystemClock checks that the kernel's boot clock is available.
func TestSystemClock(t *testing.T) {
	clock := New(Options{})
	assert.Assert(t, clock.hasBootClock)
	before := clock.Now()
	assert.Assert(t, !clock.Now().Before(before))
}

// BenchmarkNow measures Now without jumps of the wall clock.
func BenchmarkNow(b *testing.B) {
	clock := New(Options{})
	b.ReportAllocs()
	for range b.N {
		clock.Now()
	}
}
