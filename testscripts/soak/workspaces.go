package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Workspaces and their settings. The limited workspace's rate limit is below its callers'
// request rate; the homed workspace is bound to two home regions.
const (
	workspaceUnlimited = "free"
	workspaceLimited   = "limited"
	workspaceHomed     = "homed"

	workspaceRatePerSecond = 2.0
	workspaceBurst         = 2.0
	quotaWindow            = 8 * time.Second
	quotaOvershoot         = 0.25
	quotaSlack             = 12.0

	publicPath = "/public/x"
	// lastingKey is a key of the unlimited workspace in all configurations, for calls that outlast
	// other keys.
	lastingKey = "key-lasting"
	// unknownKey is an API key that no configuration contains.
	unknownKey = "key-stray"
)

var workspaceNames = []string{workspaceUnlimited, workspaceLimited, workspaceHomed}

// workspaceKey returns the API key that a configuration version introduces for a workspace.
// A key is revoked two versions later.
func workspaceKey(workspace string, version int) string {
	return fmt.Sprintf("key-%s-%d", workspace, version)
}

// workspaceTable returns the workspaces of a configuration version.
func workspaceTable(version int) []map[string]any {
	var out []map[string]any
	for _, name := range workspaceNames {
		keys := []string{workspaceKey(name, version), workspaceKey(name, version-1)}
		entry := map[string]any{
			"Name":     name,
			"ApiKeys":  keys,
			"Priority": 1,
		}
		switch name {
		case workspaceUnlimited:
			entry["ApiKeys"] = append(keys, lastingKey)
		case workspaceLimited:
			entry["RatePerS"] = workspaceRatePerSecond
			entry["Burst"] = workspaceBurst
		case workspaceHomed:
			entry["HomeRegions"] = []string{regionName(0), regionName(1)}
		}
		out = append(out, entry)
	}
	return out
}

// credential is the API key that an attempt presents.
type credential struct {
	workspace string
	key       string
	// version is the configuration version that introduced the key; zero if none did.
	version int
	// expectServed reports whether the key is valid and the workspace has no rate limit.
	expectServed bool
}

// pickCredential picks a random workspace and usually a valid key of it, sometimes a revoked
// or unknown one. Crashing calls always come from the same workspace, so that their content
// is identical, and calls with prompts, so that they share parts. So do streams that may be resumed, of engines of several versions, as a limit
// would refuse a part of them.
func (tb *testbed) pickCredential(path string, p prompt) credential {
	tb.mu.Lock()
	version := tb.version
	tb.mu.Unlock()
	if isCrashingPath(path) || p != "" || tb.Versions > 1 && strings.HasPrefix(path, resumePath) {
		return credential{
			workspace:    workspaceUnlimited,
			key:          workspaceKey(workspaceUnlimited, version),
			version:      version,
			expectServed: true,
		}
	}
	name := workspaceNames[rand.IntN(len(workspaceNames))]
	switch n := rand.IntN(40); {
	case n == 0:
		return credential{
			workspace: name,
			key:       unknownKey,
		}
	case n == 1 && version > 3:
		return credential{
			workspace: name,
			key:       workspaceKey(name, version-3),
			version:   version - 3,
		}
	case n < 12:
		version = max(version-1, 1)
	}
	return credential{
		workspace:    name,
		key:          workspaceKey(name, version),
		version:      version,
		expectServed: name != workspaceLimited,
	}
}

// checkKeys checks that replicas run calls only for the workspace of a valid key, that they
// never see a key, and that valid keys are accepted.
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
		case r.Workspace != a.expectedWorkspace():
			out = append(out, fmt.Sprintf("%s %s was run for workspace %q, not %q", r.Attempt, r.Path, r.Workspace, a.expectedWorkspace()))
		case a.path == publicPath || a.key == "":
		case a.key == unknownKey:
			out = append(out, fmt.Sprintf("%s %s was run with a key that never was", r.Attempt, r.Path))
		case l.isKeyRevoked(a):
			out = append(out, fmt.Sprintf("%s %s was run by %s with a key that was withdrawn with version %d", r.Attempt, r.Path, a.vm, a.keyVersion+2))
		}
	}
	for _, a := range l.attempts {
		if a.status == 401 && l.isKeyInForce(a) {
			out = append(out, fmt.Sprintf("%s %s got 401 from %s with a key of version %d", a.id, a.path, a.vm, a.keyVersion))
		}
	}
	return out
}

// expectedWorkspace returns the workspace that replicas must see; empty on the public route.
func (a attempt) expectedWorkspace() string {
	if a.path == publicPath {
		return ""
	}
	return a.workspace
}

// isKeyRevoked reports whether all VMs must reject an attempt's key.
func (l *ledger) isKeyRevoked(a attempt) bool {
	ends := a.keyVersion + 2
	return a.keyVersion > 0 && ends <= len(l.versions) && a.sentAt.Sub(l.versions[ends-1]) > propagationTime && l.isUndisturbed(a.sentAt)
}

// isKeyInForce reports whether all VMs must accept an attempt's key.
func (l *ledger) isKeyInForce(a attempt) bool {
	if a.keyVersion < 1 || a.keyVersion > len(l.versions) || !l.isUndisturbed(a.sentAt) {
		return false
	}
	ends := a.keyVersion + 2
	withdrawn := ends <= len(l.versions) && a.endedAt.After(l.versions[ends-1])
	return !withdrawn && a.sentAt.Sub(l.versions[a.keyVersion-1]) > propagationTime
}

// checkWorkspaceLimit checks that the limited workspace stays within its rate limit plus
// tolerance in any window, even while VMs are partitioned.
func (l *ledger) checkWorkspaceLimit() (out []string) {
	seen := make(map[string]bool)
	var times []time.Time
	for _, r := range l.runs {
		if r.Workspace == workspaceLimited && !r.Refused && !seen[r.Attempt] {
			seen[r.Attempt] = true
			times = append(times, r.At)
		}
	}
	bound := (workspaceRatePerSecond*quotaWindow.Seconds()+workspaceBurst)*(1+quotaOvershoot) + quotaSlack
	if most := maxInWindow(times, quotaWindow); float64(most) > bound {
		out = append(out, fmt.Sprintf("%d requests of workspace %s in %v, %.0f at the most", most, workspaceLimited, quotaWindow, bound))
	}
	return out
}

// checkHomeRegions checks that calls of the homed workspace run in its home regions only.
func (l *ledger) checkHomeRegions() (out []string) {
	homes := []string{zoneOf(regionName(0)), zoneOf(regionName(1))}
	for _, r := range l.runs {
		if r.Workspace == workspaceHomed && !slices.Contains(homes, r.Zone) {
			out = append(out, fmt.Sprintf("%s %s of workspace %s ran at %s in %s", r.Attempt, r.Path, workspaceHomed, r.Replica, r.Zone))
		}
	}
	return out
}
