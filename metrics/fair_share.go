package metrics

// CountFairShare counts a call of a workspace that arrived while its service was short of
// capacity: within or above the fair share of the workspace, or above it and refused.
func (m *Metrics) CountFairShare(outcome string) {
	m.fairShares.WithLabelValues(outcome).Inc()
}
