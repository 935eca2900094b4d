package site

import "time"

// measure brings the gauges up to date for one question for the metrics.
func (n *Node) measure() {
	pic := n.control.picture()
	reached, suspected := make(map[string]int), make(map[string]int)
	for _, m := range pic.members.Members {
		if m.Reachable {
			reached[m.VM.Region]++
		} else {
			suspected[m.VM.Region]++
		}
	}
	n.metrics.SetMembers(reached, suspected)
	warm, cold := 0, 0
	for _, e := range pic.endpoints {
		switch {
		case e.Region != n.deployment.Region:
		case e.ColdUntil.IsZero():
			warm++
		default:
			cold++
		}
	}
	n.metrics.SetEndpoints(warm, cold)
	if pic.table != nil {
		n.metrics.SetRoutes(pic.table.Version)
	}
	if at := n.currentAt.Load(); at > 0 {
		n.metrics.SetPublishedAge(n.now().Sub(time.Unix(0, at)))
	}
	if n.dropped != nil {
		dropped := n.dropped()
		n.metrics.LinesDropped(dropped - n.droppedTold.Swap(dropped))
	}
}

// current notes that this VM holds what the store or its reader holds.
func (n *Node) current() {
	n.currentAt.Store(n.now().UnixNano())
}
