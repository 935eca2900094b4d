package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestExpectedAnswer guards against a stopping VM that begins answers which it will cut off, and
// against one that refuses answers which are short by their maximum length. Times are in
// milliseconds.
func TestExpectedAnswer(t *testing.T) {
	for _, row := range datatest.Read[[]struct {
		Name              string
		Route             int
		Known, Repeatable bool
		Likely, Longest   int
		Want              int
	}](t, "testdata/answer.json") {
		answer := Answer{
			Likely:  milliseconds(row.Likely),
			Longest: milliseconds(row.Longest),
		}
		got := answer.Expected(milliseconds(row.Route), row.Known, row.Repeatable)
		assert.Check(t, got == milliseconds(row.Want), "%s: %v", row.Name, got)
	}
}

func milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
