package admission

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/result"
)

type latenessCase struct {
	Name    string
	Code    result.Code
	Queued  string
	Due     string
	Refused string
	Want    string
}

// TestLatenessIsNamed guards against refusals of late calls that don't tell a call that has waited
// for a slot from one that was late before it was queued.
func TestLatenessIsNamed(t *testing.T) {
	data, err := os.ReadFile("testdata/lateness.json")
	assert.NilError(t, err)
	var cases []latenessCase
	assert.NilError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			state := NewState(Options{})
			queuedAt, refusedAt := timeAfter(t, start, c.Queued), timeAfter(t, start, c.Refused)
			arrival := Message{
				Kind: MessageArrive,
				ID:   1,
				Request: Request{
					FirstTokenDeadline: timeAfter(t, start, c.Due),
				},
				Supply: supplyWithFree(0),
			}
			actions := state.Step(arrival, queuedAt)
			if len(actions) == 0 {
				actions = state.Step(Message{
					Kind:   MessageTick,
					Supply: supplyWithFree(0),
				}, refusedAt)
			}
			assert.Equal(t, len(actions), 1)
			refusal := newRefusal(actions[0])
			assert.Equal(t, refusal.Code, c.Code)
			assert.Equal(t, refusal.Message, c.Want)
		})
	}
}
