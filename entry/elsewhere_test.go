package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestElsewhere asks a VM of region a on behalf of a client of region d.
func TestElsewhere(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name    string
		Bound   [][]string
		Reached []string
		Want    []string
	}](t, "testdata/elsewhere.json") {
		t.Run(c.Name, func(t *testing.T) {
			assert.DeepEqual(t, FallbackRegions("a", c.Bound, c.Reached), c.Want)
		})
	}
}
