package scenario

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// judgeCase is one operation; testdata/judge.json holds them, with counts that
// were doctored so that the verdict must see a broken promise.
type judgeCase struct {
	Name string `json:"name"`
	// Asks are each a class, the ask's first and last second, and its text.
	Asks []judgedAsk `json:"asks"`
	Runs int         `json:"runs"`
	// RanAt is the second at which the first run began.
	RanAt int     `json:"ran_at"`
	Want  verdict `json:"want"`
}

type judgedAsk struct {
	Class result.Class `json:"class"`
	From  int          `json:"from"`
	To    int          `json:"to"`
	Text  string       `json:"text"`
}

func TestJudge(t *testing.T) {
	cases := datatest.Read[[]judgeCase](t, "testdata/judge.json")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var asks []told
			for _, a := range c.Asks {
				asks = append(asks, told{
					class:   a.Class,
					text:    a.Text,
					beganAt: time.Unix(int64(a.From), 0),
					endedAt: time.Unix(int64(a.To), 0),
				})
			}
			var got verdict
			got.judge(asks, c.Runs, time.Unix(int64(c.RanAt), 0))
			c.Want.Operations = 1
			c.Want.Asks = len(asks)
			assert.DeepEqual(t, got, c.Want)
		})
	}
}
