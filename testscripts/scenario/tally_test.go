package scenario

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// tallyCase is one operation in testdata/judge.json. Some have a number of runs
// that violates at-most-once execution, which the tally must detect.
type tallyCase struct {
	Name string        `json:"name"`
	Asks []attemptCase `json:"asks"`
	Runs int           `json:"runs"`
	// RanAt is the second at which the first run began.
	RanAt int   `json:"ran_at"`
	Want  tally `json:"want"`
}

type attemptCase struct {
	Class result.Class `json:"class"`
	From  int          `json:"from"`
	To    int          `json:"to"`
	Text  string       `json:"text"`
}

func TestTally(t *testing.T) {
	cases := datatest.Read[[]tallyCase](t, "testdata/judge.json")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var attempts []attempt
			for _, a := range c.Asks {
				attempts = append(attempts, attempt{
					class:   a.Class,
					text:    a.Text,
					beganAt: time.Unix(int64(a.From), 0),
					endedAt: time.Unix(int64(a.To), 0),
				})
			}
			var got tally
			got.add(attempts, c.Runs, time.Unix(int64(c.RanAt), 0))
			c.Want.Operations = 1
			c.Want.Asks = len(attempts)
			assert.DeepEqual(t, got, c.Want)
		})
	}
}
