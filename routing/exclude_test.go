package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// An excluded endpoint may be chosen only if the call allows it and no other is
// available.
func TestExcludedEndpoint(t *testing.T) {
	now := time.Unix(1e9, 0)
	one := []fleet.Endpoint{{ID: "a", State: fleet.StateLive}}
	two := []fleet.Endpoint{one[0], {ID: "b", State: fleet.StateLive}}
	for _, c := range []struct {
		name      string
		endpoints []fleet.Endpoint
		again     bool
		want      string
	}{
		{name: "only one, not again", endpoints: one, want: ""},
		{name: "only one, again", endpoints: one, again: true, want: "a"},
		{name: "another one goes first", endpoints: two, again: true, want: "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{})
			p.SetEndpoints(c.endpoints, now)
			choice, _ := p.Choose(Request{
				Exclude:       [2]string{"a"},
				AllowExcluded: c.again,
			}, now)
			assert.Equal(t, choice.Endpoint.ID, c.want)
		})
	}
}
