package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestWords reads what answers say, in their order, and the words that this makes.
func TestWords(t *testing.T) {
	start := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name    string
		Answers []struct {
			// SentMS and AtMS are when the request was sent and the answer came.
			SentMS      int
			AtMS        int
			Incarnation int64
			Rate        fleet.Rate
			// Want is the number of the new word, zero for none.
			Want uint32
		}
		Limited   bool
		PerSecond float64
	}](t, "testdata/words.json") {
		t.Run(c.Name, func(t *testing.T) {
			var last Word
			throttle := New(Options{
				Changed: func(w Word) { last = w },
			})
			e := fleet.Endpoint{ID: "e"}
			for _, a := range c.Answers {
				e.Incarnation = a.Incarnation
				at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
				before := last
				throttle.Answered(e, a.Rate, at(a.SentMS), at(a.AtMS))
				if a.Want == 0 {
					assert.Equal(t, last, before)
					continue
				}
				assert.Equal(t, last.Number, a.Want)
			}
			assert.Equal(t, throttle.IsLimited(e), c.Limited)
			assert.Equal(t, last.PerSecond, c.PerSecond)
		})
	}
}
