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
	// Asks are each a class, the ask's first and last second, and its text. Ran
	// marks the answer of the ask that ran the call.
	Asks []judgedAsk `json:"asks"`
	Runs int         `json:"runs"`
	Want verdict     `json:"want"`
}

type judgedAsk struct {
	Class result.Class `json:"class"`
	From  int          `json:"from"`
	To    int          `json:"to"`
	Text  string       `json:"text"`
	Ran   bool         `json:"ran"`
}

func TestJudge(t *testing.T) {
	cases := datatest.Read[[]judgeCase](t, "testdata/judge.json")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var asks []told
			for _, a := range c.Asks {
				code := result.Replayed
				if a.Ran {
					code = result.Done
				}
				asks = append(asks, told{
					code:    code,
					class:   a.Class,
					text:    a.Text,
					beganAt: time.Unix(int64(a.From), 0),
					endedAt: time.Unix(int64(a.To), 0),
				})
			}
			var got verdict
			got.judge(asks, c.Runs)
			c.Want.Operations = 1
			c.Want.Asks = len(asks)
			assert.DeepEqual(t, got, c.Want)
		})
	}
}
