package metrics

import "sync"

const (
	// workspacesMost bounds the workspaces that have a series of their own.
	workspacesMost = 64
	// otherWorkspaces is the series of all others.
	otherWorkspaces = "_other"
)

// workspaceNames are those that have a series of their own: the first that came.
type workspaceNames struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the label of a workspace.
func (w *workspaceNames) label(workspace string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known == nil {
		w.known = make(map[string]bool)
	}
	if !w.known[workspace] && len(w.known) >= workspacesMost {
		return otherWorkspaces
	}
	w.known[workspace] = true
	return workspace
}

// LimitRefused counts a call that its workspace's limit did not admit.
func (m *Metrics) LimitRefused(workspace string) {
	m.limitRefused.WithLabelValues(m.workspaces.label(workspace)).Inc()
}

// LimitAsked counts a call that waited for the word of the VM that keeps its
// workspace's limit; answered is false if none came in time.
func (m *Metrics) LimitAsked(answered bool) {
	outcome := "answered"
	if !answered {
		outcome = "unanswered"
	}
	m.limitAsked.WithLabelValues(outcome).Inc()
}
