package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

type workspaceCase struct {
	Name  string
	Keys  []string
	Rank  *int
	Homes []string
}

func (w workspaceCase) workspace() Workspace {
	out := Workspace{
		Name:  w.Name,
		Rank:  w.Rank,
		Homes: w.Homes,
	}
	for _, key := range w.Keys {
		out.Keys = append(out.Keys, apikey.Sum(key))
	}
	return out
}

type admitCase struct {
	Name      string
	Path      string
	Key       string
	Workspace string
	Rank      int
	Homes     []string
	Code      result.Code
}

// TestAdmit checks that a request gets the workspace of its API key and the regions
// that route and workspace have in common, and that a public route needs no key.
func TestAdmit(t *testing.T) {
	data := datatest.Read[struct {
		Routes     []Route
		Workspaces []workspaceCase
		Cases      []admitCase
	}](t, "testdata/admit.json")
	o := Options{
		Version:    3,
		Routes:     data.Routes,
		RequireKey: true,
	}
	for _, w := range data.Workspaces {
		o.Workspaces = append(o.Workspaces, w.workspace())
	}
	table := New(o)
	for _, c := range data.Cases {
		t.Run(c.Name, func(t *testing.T) {
			terms, refusal := table.Admit(newRequest(c.Path, c.Key))
			if c.Code != 0 {
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Code, c.Code)
				return
			}
			assert.Assert(t, refusal == nil, "%v", refusal)
			name := ""
			if terms.Workspace != nil {
				name = terms.Workspace.Name
			}
			assert.Equal(t, name, c.Workspace)
			assert.Equal(t, terms.Rank, c.Rank)
			assert.Equal(t, fmt.Sprint(terms.Homes), fmt.Sprint(c.Homes))
		})
	}
}

// TestAdmitWithoutKeys checks that a table without API keys requires none.
func TestAdmitWithoutKeys(t *testing.T) {
	table := New(Options{
		Version: 1,
		Routes:  []Route{{Host: "h", Prefix: "/a/"}},
	})
	terms, refusal := table.Admit(newRequest("/a/x", "any"))
	assert.Assert(t, refusal == nil)
	assert.Assert(t, terms.Workspace == nil)
}

func newRequest(path, key string) AdmitRequest {
	a := AdmitRequest{
		Host: "h",
		Path: path,
	}
	if key != "" {
		a.Key = apikey.Sum(key)
	}
	return a
}

// BenchmarkAdmit measures admission with 16 and with 15,000 workspaces of two keys each.
func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{16, 15000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			o := Options{
				Routes:     []Route{{Host: "h", Prefix: "/a/"}},
				RequireKey: true,
			}
			for i := range count {
				o.Workspaces = append(o.Workspaces, workspaceCase{
					Name: fmt.Sprintf("w%d", i),
					Keys: []string{fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)},
				}.workspace())
			}
			table := New(o)
			request := newRequest("/a/x", "a7")
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := table.Admit(request); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
