package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestAdmits guards against a stopping VM that begins calls which it will cut off, and against
// one that refuses calls which end in time. Times are in milliseconds, from the start of a stop
// that cuts calls off at 7,600 and from 2,750 on begins only calls that end by their deadline.
func TestAdmits(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, row := range datatest.Read[[]struct {
		Name string
		// Took holds how many calls of the route took how long.
		Took       map[string]int
		At         int
		Deadline   int
		Repeatable bool
		Want       bool
	}](t, "testdata/stop.json") {
		durations := NewDurations()
		for text, calls := range row.Took {
			took, err := time.ParseDuration(text)
			assert.NilError(t, err)
			for range calls {
				durations.Record("r", took)
			}
		}
		c := Call{
			Repeatable: row.Repeatable,
		}
		if row.Deadline > 0 {
			c.Deadline = at(row.Deadline)
		}
		c.Expected, c.Known = durations.Expected("r", row.Repeatable)
		s := Stop{
			Cutoff:         at(7600),
			DeadlineOnlyAt: at(2750),
		}
		assert.Check(t, s.Admits(c, at(row.At)) == row.Want, row.Name)
	}
}

// TestDurationsForget checks that old durations lose their weight.
func TestDurationsForget(t *testing.T) {
	d := NewDurations()
	for range 100 {
		d.Record("r", time.Minute)
	}
	for range 100 * recentCalls {
		d.Record("r", 10*time.Millisecond)
	}
	took, known := d.Expected("r", false)
	assert.Assert(t, known && took < 20*time.Millisecond, took)
}

func BenchmarkRecord(b *testing.B) {
	d := NewDurations()
	b.ReportAllocs()
	for range b.N {
		d.Record("r", 20*time.Millisecond)
	}
}
