package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

func TestMatch(t *testing.T) {
	data := datatest.Read[struct {
		Routes []Route
		Cases  []struct{ Host, Path, Want string }
	}](t, "testdata/match.json")
	table := New(Options{
		Version: 1,
		Routes:  data.Routes,
	})
	for _, c := range data.Cases {
		t.Run(c.Host+c.Path, func(t *testing.T) {
			got := ""
			if r, ok := table.Match(c.Host, c.Path); ok {
				got = r.Name
			}
			assert.Equal(t, got, c.Want)
		})
	}
}

// TestPick checks that the split follows the weights and that a service with weight
// zero gets no requests.
func TestPick(t *testing.T) {
	r := Route{
		Shares: []Share{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}},
	}
	counts := make(map[string]int)
	for draw := range uint64(1000) {
		counts[r.PickService(draw)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, (&Route{}).PickService(1), "")
}
