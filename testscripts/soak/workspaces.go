package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The workspaces of a soak: their callers present keys on all routes but the public
// one. The limited one has fewer requests a second than its callers send; the homed one
// shares one home with the routes that are bound.
const (
	workspaceFree    = "free"
	workspaceLimited = "limited"
	workspaceHomed   = "homed"

	limitedPerSecond = 2.0
	limitedBurst     = 2.0
	limitWindow      = 8 * time.Second
	limitOvershoot   = 0.25
	limitSlack       = 12.0

	publicPath = "/public/x"
	// strayKey is in no configuration; it stands in for a caller who guesses.
	strayKey = "key-stray"
)

var workspaceNames = []string{workspaceFree, workspaceLimited, workspaceHomed}

// keyOf is a workspace's key of a version: each version withdraws the one of the
// second version before it, and gives a new one.
func keyOf(workspace string, version int) string {
	return fmt.Sprintf("key-%s-%d", workspace, version)
}

// workspaceTable is what the configuration of a version says of workspaces.
func workspaceTable(version int) []map[string]any {
	var out []map[string]any
	for _, name := range workspaceNames {
		w := map[string]any{
			"Name":     name,
			"ApiKeys":  []string{keyOf(name, version), keyOf(name, version-1)},
			"Priority": 1,
		}
		switch name {
		case workspaceLimited:
			w["RatePerS"] = limitedPerSecond
			w["Burst"] = limitedBurst
		case workspaceHomed:
			w["HomeRegions"] = []string{regionName(0), regionName(1)}
		}
		out = append(out, w)
	}
	return out
}

// credential is what an attempt presents.
type credential struct {
	workspace string
	key       string
	// version is that of the key, zero for one that no configuration ever held.
	version int
	// owed says that the attempt is to be served: the key is a present one, and the
	// workspace has no limit.
	owed bool
}

// drawCredential chooses a workspace and one of its keys: a present one as a rule, now
// and then one that was withdrawn or none that ever was. Calls that crash replicas come
// again from the same workspace, as one content.
func (w *world) drawCredential(path string) credential {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	if crashes(path) {
		return credential{
			workspace: workspaceFree,
			key:       keyOf(workspaceFree, version),
			version:   version,
			owed:      true,
		}
	}
	name := workspaceNames[rand.IntN(len(workspaceNames))]
	switch n := rand.IntN(40); {
	case n == 0:
		return credential{
			workspace: name,
			key:       strayKey,
		}
	case n == 1 && version > 3:
		return credential{
			workspace: name,
			key:       keyOf(name, version-3),
			version:   version - 3,
		}
	case n < 12:
		version = max(version-1, 1)
	}
	return credential{
		workspace: name,
		key:       keyOf(name, version),
		version:   version,
		owed:      name != workspaceLimited,
	}
}

// checkKeys holds that replicas run calls only for the workspace whose key was
// presented while that was in force, and never see a key.
func (l *ledger) checkKeys() (out []string) {
	attempts := make(map[string]attempt, len(l.attempts))
	for _, a := range l.attempts {
		attempts[a.id] = a
	}
	for _, r := range l.runs {
		a, ok := attempts[r.Attempt]
		switch {
		case !ok:
		case r.HasKey:
			out = append(out, fmt.Sprintf("%s %s reached %s with a key", r.Attempt, r.Path, r.Replica))
		case r.Workspace != a.workspaceAtReplica():
			out = append(out, fmt.Sprintf("%s %s was run for workspace %q, not %q", r.Attempt, r.Path, r.Workspace, a.workspaceAtReplica()))
		case a.path == publicPath || a.key == "":
		case a.key == strayKey:
			out = append(out, fmt.Sprintf("%s %s was run with a key that never was", r.Attempt, r.Path))
		case l.hasEnded(a):
			out = append(out, fmt.Sprintf("%s %s was run by %s with a key that was withdrawn with version %d", r.Attempt, r.Path, a.vm, a.keyVersion+2))
		}
	}
	for _, a := range l.attempts {
		if a.status == 401 && l.isInForce(a) {
			out = append(out, fmt.Sprintf("%s %s got 401 from %s with a key of version %d", a.id, a.path, a.vm, a.keyVersion))
		}
	}
	return out
}

// workspaceAtReplica is the workspace that a replica must be told.
func (a attempt) workspaceAtReplica() string {
	if a.path == publicPath {
		return ""
	}
	return a.workspace
}

// hasEnded reports whether an attempt's key was withdrawn so long ago that no VM may
// take it any more.
func (l *ledger) hasEnded(a attempt) bool {
	ends := a.keyVersion + 2
	return a.keyVersion > 0 && ends <= len(l.versions) && a.sentAt.Sub(l.versions[ends-1]) > appliesWithin && l.calm(a.sentAt)
}

// isInForce reports whether all VMs must take an attempt's key.
func (l *ledger) isInForce(a attempt) bool {
	if a.keyVersion < 1 || a.keyVersion > len(l.versions) || !l.calm(a.sentAt) {
		return false
	}
	ends := a.keyVersion + 2
	withdrawn := ends <= len(l.versions) && a.endedAt.After(l.versions[ends-1])
	// The first two versions' keys are in the first configuration.
	return !withdrawn && a.sentAt.Sub(l.versions[a.keyVersion-1]) > appliesWithin
}

// checkLimit holds that replicas run no more of the limited workspace in any window
// than its limit and the tolerance allow, in touch or not.
func (l *ledger) checkLimit() (out []string) {
	seen := make(map[string]bool)
	var times []time.Time
	for _, r := range l.runs {
		if r.Workspace == workspaceLimited && !r.Refused && !seen[r.Attempt] {
			seen[r.Attempt] = true
			times = append(times, r.At)
		}
	}
	bound := (limitedPerSecond*limitWindow.Seconds()+limitedBurst)*(1+limitOvershoot) + limitSlack
	if most := mostWithin(times, limitWindow); float64(most) > bound {
		out = append(out, fmt.Sprintf("%d requests of workspace %s in %v, %.0f at the most", most, workspaceLimited, limitWindow, bound))
	}
	return out
}

// checkHomes holds that calls of a homed workspace run in its homes only.
func (l *ledger) checkHomes() (out []string) {
	homes := []string{zoneOf(regionName(0)), zoneOf(regionName(1))}
	for _, r := range l.runs {
		if r.Workspace == workspaceHomed && !slices.Contains(homes, r.Zone) {
			out = append(out, fmt.Sprintf("%s %s of workspace %s ran at %s in %s", r.Attempt, r.Path, workspaceHomed, r.Replica, r.Zone))
		}
	}
	return out
}
