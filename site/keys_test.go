package site

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// readmitCase is a call admitted by another VM under an older table, and its outcome
// under the newer one.
type readmitCase struct {
	Name      string
	Keys      []string
	Key       string
	Path      string
	Public    bool
	Forwarded bool
	// Service is that of the call afterwards, of the newer table if it is empty.
	Service    string
	Homes      []string
	RouteHomes []string `json:"route_homes"`
	Code       result.Code
	Workspace  string
	Rank       int
}

// TestJudgeAnew checks that a VM with a newer table admits a forwarded call by its own
// table, so that a revoked key is refused.
func TestJudgeAnew(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(largeFleet, func() time.Time { return now })
	for _, c := range datatest.Read[[]readmitCase](t, "testdata/readmit.json") {
		t.Run(c.Name, func(t *testing.T) {
			forwarded := routedCall(c.Key)
			if c.Path != "" {
				forwarded.Path = c.Path
			}
			forwarded.Forwarded = c.Forwarded
			forwarded.Service = "before"
			refusal := n.readmit(forwarded, c.table())
			if c.Code != 0 {
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, c.Code)
				return
			}
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, forwarded.Workspace, c.Workspace)
			assert.Equal(t, forwarded.Routed.Rank, c.Rank)
			assert.Equal(t, forwarded.Service, cmp.Or(c.Service, "s"))
		})
	}
}

func (c readmitCase) table() *route.Table {
	w := route.Workspace{
		Name:  "renamed",
		Homes: c.Homes,
	}
	for _, key := range c.Keys {
		w.Keys = append(w.Keys, apikey.Sum(key))
	}
	return route.New(route.Options{
		Version: 9,
		Routes: []route.Route{{
			Host:   "h",
			Prefix: "/p/",
			Rank:   3,
			Shares: []route.Share{{Service: "s", Weight: 1}},
			Homes:  c.RouteHomes,
			Public: c.Public,
		}},
		RequireKey: true,
		Workspaces: []route.Workspace{w},
	})
}

// TestKeyStays checks that messages to other VMs contain no API key.
func TestKeyStays(t *testing.T) {
	const key = "m68k7b2ex5wa5xwyhks8"
	m, err := proto.Marshal(peer.CallToProto(routedCall(key), time.Unix(1e9, 0)))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(m), key))
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", routedCall(key).Routed), key))
}

func routedCall(key string) *call.Call {
	c := &call.Call{
		ID:        "a1",
		Kind:      call.KindRouted,
		Workspace: "w",
		Method:    "POST",
		Path:      "/p/x?q=1",
		Routed: &call.Routed{
			Host:    "h",
			Version: 8,
		},
	}
	if key != "" {
		c.Routed.Key = apikey.Sum(key)
	}
	return c
}
