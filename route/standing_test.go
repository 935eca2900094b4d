package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestStanding checks that ranks are classified relative to the ranks in use.
func TestStanding(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name       string
		Routes     []int
		Public     []int
		Workspaces []*int
		// Want holds the standings of ranks 0, 1 and 2.
		Want []Standing
	}](t, "testdata/standing.json") {
		t.Run(c.Name, func(t *testing.T) {
			o := Options{
				RequireKey: c.Workspaces != nil,
			}
			for _, rank := range c.Routes {
				o.Routes = append(o.Routes, Route{Rank: rank, Host: "h", Prefix: "/"})
			}
			for _, rank := range c.Public {
				o.Routes = append(o.Routes, Route{Rank: rank, Host: "h", Prefix: "/", Public: true})
			}
			for i, rank := range c.Workspaces {
				o.Workspaces = append(o.Workspaces, Workspace{Name: fmt.Sprint(i), Rank: rank})
			}
			table := New(o)
			for rank, want := range c.Want {
				assert.Equal(t, table.Standing(rank), want, "rank %d", rank)
			}
		})
	}
}
