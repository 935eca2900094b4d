package route

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Workspace configures one customer: its API keys, priority, regions and rate limit.
type Workspace struct {
	Name string
	// Keys holds the digests of the workspace's API keys.
	Keys []apikey.Digest
	// Rank overrides the route's rank; nil keeps it.
	Rank *int
	// Homes lists the regions that may serve the workspace; empty means all.
	Homes []string
	Limit Limit
}

// Unit is the unit of a rate limit.
type Unit string

// Units of rate limits.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Limit is the token bucket that all VMs together enforce for one workspace.
type Limit struct {
	Unit Unit
	// PerSecond is the refill rate, in units per second; zero means unlimited.
	PerSecond float64
	// Burst is the bucket's capacity, in units.
	Burst float64
	// DefaultTokens is the cost of a request that does not state its tokens.
	DefaultTokens float64
}

// IsUnlimited reports whether the workspace is unlimited.
func (l Limit) IsUnlimited() bool {
	return l.PerSecond <= 0
}

// AdmitRequest holds what Admit needs of a request, all of it known before the body is read.
type AdmitRequest struct {
	Host string
	Path string
	// Key is the digest of the caller's API key, or zero if there is none.
	Key apikey.Digest
}

// Admission is the configuration that applies to an admitted request.
type Admission struct {
	Table *Table
	Route *Route
	// Workspace is nil if the request needs no API key.
	Workspace *Workspace
	// Homes lists the regions that may serve the request; empty means all.
	Homes []string
	Rank  int
}

// Admit matches a request to its route, authenticates it and returns the terms that
// apply. Refusals have code 2002, 2005 or 2009.
func (t *Table) Admit(a AdmitRequest) (Admission, *result.Refusal) {
	return t.admit(a.Host, a.Path, func() (*Workspace, *result.Refusal) {
		workspace, ok := t.workspaceOf(a.Key)
		if !ok {
			return nil, result.Refuse(result.Unauthenticated, "the key is missing, malformed or unknown; expected one header Authorization: Bearer <key>")
		}
		return workspace, nil
	})
}

// AdmitNamed is Admit for a workspace that is known by its name, for explanations to operators.
func (t *Table) AdmitNamed(host, path, name string) (Admission, *result.Refusal) {
	workspace, ok := t.byName[name]
	if !ok && name != "" {
		return Admission{}, result.Refuse(result.Unauthenticated, "no workspace %s is configured", name)
	}
	return t.admit(host, path, func() (*Workspace, *result.Refusal) {
		if workspace == nil {
			return nil, result.Refuse(result.Unauthenticated, "the route needs a key, so a workspace must be named")
		}
		return workspace, nil
	})
}

// admit returns the terms of a request; authenticate is called if the route needs a key.
func (t *Table) admit(host, path string, authenticate func() (*Workspace, *result.Refusal)) (Admission, *result.Refusal) {
	found, ok := t.Match(host, path)
	if !ok {
		return Admission{}, result.Refuse(result.UnknownRoute, "no route begins the path")
	}
	terms := Admission{
		Table: t,
		Route: found,
		Homes: found.Homes,
		Rank:  found.Rank,
	}
	if !t.RequiresKey() || found.Public {
		return terms, nil
	}
	workspace, refusal := authenticate()
	if refusal != nil {
		return Admission{}, refusal
	}
	homes, ok := intersectHomes(found.Homes, workspace.Homes)
	if !ok {
		return Admission{}, result.Refuse(result.NoCommonHome, "no region is a home of both the route and the workspace")
	}
	terms.Workspace = workspace
	terms.Homes = homes
	if workspace.Rank != nil {
		terms.Rank = *workspace.Rank
	}
	return terms, nil
}

// RequiresKey reports whether requests on routes that are not public need an API key.
func (t *Table) RequiresKey() bool {
	return t.keyed
}

// Workspace returns the workspace with the given name.
func (t *Table) Workspace(name string) (*Workspace, bool) {
	w, ok := t.byName[name]
	return w, ok
}

// Workspaces returns all workspaces. The caller must not modify the slice.
func (t *Table) Workspaces() []Workspace {
	return t.workspaces
}

// workspaceOf returns the workspace that a key belongs to. Lookups go by digest, so
// that their duration reveals nothing about the key.
func (t *Table) workspaceOf(key apikey.Digest) (*Workspace, bool) {
	entry := t.byKey[key]
	if !entry.digest.Equal(key) || key.IsZero() {
		return nil, false
	}
	return entry.workspace, true
}

// keyEntry is an entry of the index by key.
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

// intersectHomes returns the regions that both lists allow; an empty list allows all.
// ok is false if no region is in both.
func intersectHomes(a, b []string) (homes []string, ok bool) {
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
