package emulator

import (
	"cmp"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// readStore reads from the store if this VM is a store reader and no read is in flight.
func (v *vm) readStore() {
	now := v.now()
	if v.readInFlight || now.Before(v.nextReadCheck) {
		return
	}
	if v.discovery.Table() != nil && !v.snapshot().ReadsStore(storeReaders) {
		v.nextReadCheck = now.Add(readerCheckInterval)
		return
	}
	v.readInFlight = true
	incarnation, w := v.incarnation, v.world
	answered := false
	w.after(readTimeout, func() {
		if !answered {
			v.run(incarnation, func() { v.readTimedOut() })
		}
	})
	w.network.sendStore(v.member.Region, storeRegion, func() {
		if w.store.silentOutages > 0 {
			return
		}
		failed := w.store.outages > 0 || w.store.denied[v.member.Region] > 0
		result, historyLost := w.store.read(v.mirror.Position().Revision, v.needsFullRead)
		w.after(storeLatency, func() {
			w.network.sendStore(storeRegion, v.member.Region, func() {
				answered = true
				v.run(incarnation, func() { v.applyRead(result, failed, historyLost) })
			})
		})
	})
}

func (v *vm) readTimedOut() {
	v.readInFlight = false
	v.roster.SetStoreUnreadable(true)
	v.discovery.StoreLost()
}

func (v *vm) applyRead(result readResult, failed, historyLost bool) {
	switch {
	case failed:
		v.discovery.StoreLost()
		v.roster.SetStoreUnreadable(true)
	case historyLost, !result.full && result.position.Era != v.mirror.Position().Era && v.world.defect != IgnoreEras:
		v.needsFullRead = true
	default:
		v.needsFullRead = false
		v.discovery.StoreRecovered(v.now())
		v.roster.SetStoreUnreadable(false)
		v.applyItems(result)
	}
	incarnation := v.incarnation
	v.world.after(readInterval, func() {
		v.run(incarnation, func() { v.readInFlight = false })
	})
}

func (v *vm) merge(result readResult) (items []discovery.Item, restored bool) {
	if v.world.defect == IgnoreEras {
		result.position.Era = 0
	}
	if result.full {
		return v.mirror.Replace(result.items, result.position)
	}
	return v.mirror.Apply(result.items, result.position), false
}

// applyItems applies a read of the store, or of a peer's copy, and gossips to some VMs.
func (v *vm) applyItems(result readResult) {
	isFirst := v.mirror.Position().IsZero()
	if result.full && !isFirst && v.mirror.HidesChanges(result.items, result.position) {
		v.origins.Restart(v.now())
	}
	items, restored := v.merge(result)
	if result.full && isFirst {
		v.firstPosition, v.firstReadAt = result.position, v.now()
	}
	if restored {
		v.discovery.StoreRestored(v.now())
	}
	if len(items) == 0 && !restored {
		return
	}
	sortItems(items)
	for _, item := range items {
		change := v.world.store.decode(item)
		change.Restored = restored
		v.applyChange(change)
	}
	v.applyState()
	v.gossipTo(v.roster.RandomTargets(configFanout))
}

func (v *vm) applyChange(c discovery.Change) {
	switch {
	case c.Key == "":
	case c.Evacuated != "" && v.world.defect == IgnoreEvacuation:
	case c.Endpoint != nil && !c.Removed && c.Endpoint.State != fleet.StateLive && v.world.defect == IgnoreDraining:
	default:
		v.recordDeparture(c)
		v.discovery.Apply(c, v.now())
		v.endpointsChanged = true
	}
}

func sortItems(items []discovery.Item) {
	slices.SortFunc(items, func(a, b discovery.Item) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
}
