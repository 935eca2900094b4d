package call

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// termsCase is a call that is admitted under two versions, one after the other.
type termsCase struct {
	Name  string
	Older route.Route
	Newer route.Route
	// Workspaces and Ranks are those under the older and under the newer version.
	Workspaces [2]string
	Ranks      [2]int
	// WantOnce is set if the call may run once although the newer version lets it run again;
	// WantAttempts is how many endpoints may run it.
	WantOnce     bool `json:"want_once"`
	WantAttempts int  `json:"want_attempts"`
}

// TestReplacedTermsAreOfOneVersion guards against a call of which some terms are of an older
// version of the routing table than the others.
func TestReplacedTermsAreOfOneVersion(t *testing.T) {
	for _, c := range datatest.Read[[]termsCase](t, "testdata/terms.json") {
		t.Run(c.Name, func(t *testing.T) {
			older, newer := c.admission(0, c.Older), c.admission(1, c.Newer)
			got, want := termsCall(), termsCall()
			got.SetTerms(older, "s0")
			got.ReplaceTerms(newer, "s1")
			want.SetTerms(newer, "s1")
			if c.WantOnce {
				want.RunOnce()
			}
			want.Routed.MaxAttempts = c.WantAttempts
			assert.DeepEqual(t, got.Routed, want.Routed)
			assert.Check(t, reflect.DeepEqual(got, want), "%+v, want %+v", got, want)
		})
	}
}

func (c termsCase) admission(version int, found route.Route) route.Admission {
	a := route.Admission{
		Table: route.New(route.Options{
			Version:    uint64(1 + version),
			Services:   []route.Service{{Name: "s0", TokensPerEvent: 4}, {Name: "s1", TokensPerEvent: 9}},
			RequireKey: version == 1,
		}),
		Route: &found,
		Homes: found.Homes,
		Rank:  c.Ranks[version],
	}
	if name := c.Workspaces[version]; name != "" {
		a.Workspace = &route.Workspace{
			Name: name,
		}
	}
	return a
}

func termsCall() *Call {
	now := time.Unix(1e9, 0)
	return &Call{
		ID:     "a",
		Kind:   KindRouted,
		Header: http.Header{"Authorization": {"Bearer key"}},
		Routed: &Routed{
			PromptParts:    []PromptPart{{ID: 1, Tokens: 2}, {ID: 3, Tokens: 4}},
			ArrivedAt:      now,
			ObjectiveFrom:  now.Add(-time.Second),
			CallerDeadline: now.Add(3 * time.Second),
		},
	}
}
