package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestWatchPacer plays changes at even intervals for ten seconds. It guards against a
// batch for each change of a store that changes all the time.
func TestWatchPacer(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name  string
		Every string
		// MostBatches bounds the batches that are read, MostLate how long a change waits.
		MostBatches int    `json:"most_batches"`
		MostLate    string `json:"most_late"`
	}](t, "testdata/watch_pacer.json") {
		t.Run(c.Name, func(t *testing.T) {
			start := time.Unix(1e9, 0)
			var pacer WatchPacer
			watchAt := start
			batches := 0
			var mostLate time.Duration
			for at := start; at.Sub(start) < 10*time.Second; at = at.Add(parseDuration(t, c.Every)) {
				if at.Before(watchAt) {
					mostLate = max(mostLate, watchAt.Sub(at))
					continue
				}
				batches++
				watchAt = pacer.NextWatchAt(at)
			}
			assert.Assert(t, batches <= c.MostBatches, "%d batches", batches)
			assert.Assert(t, mostLate <= parseDuration(t, c.MostLate), "a change waits for %v", mostLate)
		})
	}
}
