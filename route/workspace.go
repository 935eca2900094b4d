package route

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Workspace is what operators publish of one customer whose calls come under routes.
type Workspace struct {
	Name string
	// Keys admit the workspace's callers. A caller's key has such a digest.
	Keys []apikey.Digest
	// Rank goes before that of a route; nil means that the route's counts.
	Rank *int
	// Homes are the regions that may serve the workspace; none means all.
	Homes []string
	Limit Limit
}

// Unit is what a limit counts.
type Unit string

// The units of limits.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Limit bounds what all VMs together admit of one workspace.
type Limit struct {
	Unit Unit
	// PerSecond is the rate, in the limit's unit; zero means no limit.
	PerSecond float64
	// Burst is what may be saved up, in the limit's unit.
	Burst float64
	// TokensUnknown is what a request counts that does not name its tokens.
	TokensUnknown float64
}

// IsZero reports whether nothing is limited.
func (l Limit) IsZero() bool {
	return l.PerSecond <= 0
}

// Ask is what a request shows of itself before its body is read.
type Ask struct {
	Host string
	Path string
	// Key is the digest of the caller's key, zero where it presents none.
	Key apikey.Digest
}

// Terms are what a request is served under.
type Terms struct {
	Table *Table
	Route *Route
	// Workspace is nil where requests need no key.
	Workspace *Workspace
	// Homes are the regions that may serve the request; none means all.
	Homes []string
	Rank  int
}

// Admit finds the terms of a request. The codes of refusals are 2002, 2005 and 2009.
func (t *Table) Admit(a Ask) (Terms, *result.Refusal) {
	found, ok := t.Match(a.Host, a.Path)
	if !ok {
		return Terms{}, result.Refuse(result.UnknownRoute, "no route begins the path")
	}
	terms := Terms{
		Table: t,
		Route: found,
		Homes: found.Homes,
		Rank:  found.Rank,
	}
	if !t.Keyed() || found.Public {
		return terms, nil
	}
	workspace, ok := t.workspaceOf(a.Key)
	if !ok {
		return Terms{}, result.Refuse(result.Unauthenticated, "the key is missing, malformed or unknown; expected one header Authorization: Bearer <key>")
	}
	homes, ok := commonHomes(found.Homes, workspace.Homes)
	if !ok {
		return Terms{}, result.Refuse(result.NoCommonHome, "no region is a home of both the route and the workspace")
	}
	terms.Workspace = workspace
	terms.Homes = homes
	if workspace.Rank != nil {
		terms.Rank = *workspace.Rank
	}
	return terms, nil
}

// Keyed reports whether requests on routes that are not public need a key.
func (t *Table) Keyed() bool {
	return t.keyed
}

// Workspace returns the workspace of a name.
func (t *Table) Workspace(name string) (*Workspace, bool) {
	w, ok := t.byName[name]
	return w, ok
}

// Workspaces returns all workspaces. They must not be changed.
func (t *Table) Workspaces() []Workspace {
	return t.workspaces
}

// workspaceOf finds the workspace that holds a key. The index is by digest, so a
// look-up takes the same for any number of workspaces, and how long it takes says
// nothing of the key itself.
func (t *Table) workspaceOf(key apikey.Digest) (*Workspace, bool) {
	entry := t.byKey[key]
	if !entry.digest.Equal(key) || key.IsZero() {
		return nil, false
	}
	return entry.workspace, true
}

// keyEntry is one key with its holder.
type keyEntry struct {
	digest    apikey.Digest
	workspace *Workspace
}

// indexWorkspaces fills the indexes by key and by name.
func (t *Table) indexWorkspaces() {
	t.byKey = make(map[apikey.Digest]keyEntry)
	t.byName = make(map[string]*Workspace, len(t.workspaces))
	for i := range t.workspaces {
		w := &t.workspaces[i]
		t.byName[w.Name] = w
		for _, key := range w.Keys {
			t.byKey[key] = keyEntry{
				digest:    key,
				workspace: w,
			}
		}
	}
}

// commonHomes returns the regions that two lists of homes allow, where an empty
// list allows all. It is false if there is none.
func commonHomes(a, b []string) ([]string, bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	var common []string
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common, len(common) > 0
}
