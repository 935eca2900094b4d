package metrics

// CountPlacementRefusal counts a call that was refused before it was sent anywhere.
func (m *Metrics) CountPlacementRefusal(reason string) {
	m.placementRefused.WithLabelValues(reason).Inc()
}
