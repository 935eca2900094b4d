package serving

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// overflowCase is one row of testdata/away.json. VM 0's region has no endpoint; VMs 1
// and 2 offer capacity.
type overflowCase struct {
	Name string `json:"name"`
	// Refusing are the VMs without spare capacity.
	Refusing []int   `json:"refusing"`
	Share    float64 `json:"share"`
	Want     string  `json:"want"`
	// Asked are the VMs expected to be asked, in order.
	Asked []int `json:"asked"`
	Runs  int   `json:"runs"`
}

// TestAway checks that a call sent to another region runs at most once and is charged
// once, in its own region.
func TestAway(t *testing.T) {
	for _, c := range datatest.Read[[]overflowCase](t, "testdata/away.json") {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.test) })
	}
}

func (c overflowCase) test(t *testing.T) {
	cl := newCluster(t, []string{"stream 5"})
	cl.terms.Region.BorrowShare = c.Share
	origin := cl.processes[0]
	var asked []int
	origin.server.options.Pool = func(string) (*Pool, bool) { return nil, false }
	origin.server.options.ChooseOverflow = func(*call.Call, Terms) (fleet.VM, bool) {
		return cl.processes[1+len(asked)%2].vm, true
	}
	for i, p := range cl.processes {
		p.server.options.AcceptOverflow = func(*call.Call) (func(), *result.Refusal) {
			asked = append(asked, i)
			if slices.Contains(c.Refusing, i) {
				return nil, result.Refuse(result.NoSurplus, "none")
			}
			return func() {}, nil
		}
	}
	cl.send("a", 0, 0, "chat", false)
	cl.wait.Wait()
	time.Sleep(time.Minute)
	cl.endpoint.group.Wait()

	assert.Equal(t, cl.requests["a"].outcome.Code.String(), c.Want)
	assert.DeepEqual(t, asked, c.Asked)
	assert.Equal(t, cl.endpoint.runCount(), c.Runs)
	usage := cl.requests["a"].outcome.Usage
	cost := Cost(cl.newCall("a", "chat"), usage, origin.server.options.Snapshot()).Spend
	assert.Equal(t, cl.settledSpend(origin), cost)
	assert.Equal(t, cost > 0, c.Runs > 0)
	for _, p := range cl.processes {
		cl.assertNoneInFlight(p)
		assert.Assert(t, p == origin || cl.settledSpend(p) == 0)
	}
}
