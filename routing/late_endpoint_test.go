package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Bounds how long an endpoint gets no calls after one late answer, at ten calls per
// second while other endpoints are idle.
func TestLateEndpointAvoided(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name       string
		Late       string
		Turn       int
		PassedOver string `json:"passed_over"`
		AtMost     string `json:"at_most"`
	}](t, "testdata/passed_over.json") {
		t.Run(c.Name, func(t *testing.T) {
			delay, err := time.ParseDuration(c.Late)
			assert.NilError(t, err)
			atLeast, err := time.ParseDuration(c.PassedOver)
			assert.NilError(t, err)
			atMost, err := time.ParseDuration(c.AtMost)
			assert.NilError(t, err)
			got := avoidedFor(t, delay, c.Turn)
			assert.Assert(t, got >= atLeast && got <= atMost, "%s", got)
		})
	}
}

func avoidedFor(t *testing.T, delay time.Duration, queueLevel int) time.Duration {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints(enginesInRegion("near", "a", "b"), now)
	choice, ok := p.Choose(Request{Exclude: [2]string{"b"}, QueueLevel: queueLevel}, now)
	assert.Assert(t, ok)
	now = now.Add(delay)
	p.FirstToken(choice, now)
	p.Done(choice, Outcome{Code: result.Done, Sent: true, FirstAt: now}, now)
	answeredAt := now
	for now.Sub(answeredAt) < time.Minute {
		choice, ok := p.Choose(Request{}, now)
		assert.Assert(t, ok)
		p.FirstToken(choice, now)
		p.Done(choice, Outcome{Code: result.Done, Sent: true, FirstAt: now}, now)
		if choice.Endpoint.ID == "a" {
			break
		}
		now = now.Add(100 * time.Millisecond)
	}
	return now.Sub(answeredAt)
}
