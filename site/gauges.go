package site

import "time"

// updateGauges refreshes the gauges before a scrape.
func (n *Node) updateGauges() {
	snap := n.control.snapshot()
	reached, suspected := make(map[string]int), make(map[string]int)
	for _, m := range snap.members.Members {
		if m.Reachable {
			reached[m.VM.Region]++
		} else {
			suspected[m.VM.Region]++
		}
	}
	n.metrics.SetMembers(reached, suspected)
	n.metrics.SetStreamRecords(n.streams.register.Stats())
	if n.freshAsOf.Load() > 0 {
		n.metrics.SetStoreViewAge(n.viewAge())
	}
	n.metrics.SetRetryBudgetVMs(snap.members.FleetSize)
	n.saturation.updateGauges()
	n.bodies.updateGauges(n)
	warm, cold := 0, 0
	for _, counts := range n.pools.index.serviceCounts() {
		warm += counts.warm
		cold += counts.cold
	}
	n.metrics.SetEndpoints(warm, cold)
	n.metrics.SetEngineMemory(n.pools.memoryRatios(n.now()))
	n.metrics.SetEngineTokenTime(n.pools.tokenTimes(n.now()))
	n.metrics.SetPaced(n.pools.advancePaced(n.now()))
	if snap.table != nil {
		n.metrics.SetRoutesVersion(snap.table.Version)
	}
	n.metrics.SetStoreEra(snap.position.Era)
	if at := n.inSyncAt.Load(); at > 0 {
		n.metrics.SetPublishedAge(n.now().Sub(time.Unix(0, at)))
	}
	dropped := n.linesDropped()
	n.metrics.LinesDropped(dropped - n.droppedReported.Swap(dropped))
}

// markInSync records that this VM has the revision of the store or of its reader.
func (n *Node) markInSync() {
	n.inSyncAt.Store(n.now().UnixNano())
}
