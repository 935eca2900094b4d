package metrics

import "sync"

const (
	// maxWorkspaceSeries is the maximum number of workspaces with their own series.
	maxWorkspaceSeries = 64
	// otherWorkspacesLabel is the label shared by all other workspaces.
	otherWorkspacesLabel = "_other"
)

// workspaceLabels assigns labels to workspaces, first come, first served.
type workspaceLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the workspace's name, or otherWorkspacesLabel once
// maxWorkspaceSeries names are in use.
func (w *workspaceLabels) label(workspace string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known == nil {
		w.known = make(map[string]bool)
	}
	if !w.known[workspace] && len(w.known) >= maxWorkspaceSeries {
		return otherWorkspacesLabel
	}
	w.known[workspace] = true
	return workspace
}

// CountLimitRejection counts a call rejected by its workspace's rate limit.
func (m *Metrics) CountLimitRejection(workspace string) {
	m.limitRejections.WithLabelValues(m.workspaces.label(workspace)).Inc()
}

// CountLimitRequest counts a call that waited for the VM that manages its workspace's
// limit; answered is false if that VM did not respond in time.
func (m *Metrics) CountLimitRequest(answered bool) {
	outcome := "answered"
	if !answered {
		outcome = "unanswered"
	}
	m.limitRequests.WithLabelValues(outcome).Inc()
}
