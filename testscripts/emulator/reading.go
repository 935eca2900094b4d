package emulator

import (
	"cmp"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// read asks the store, if this VM is to and is not waiting for it.
func (v *vm) read() {
	now := v.now()
	if v.reading || now.Before(v.readsAt) {
		return
	}
	if v.discovery.Table() != nil && !v.picture().Reads(readers) {
		v.readsAt = now.Add(dutyEvery)
		return
	}
	v.reading = true
	life, w := v.life, v.world
	answered := false
	w.after(watchFor, func() {
		if !answered {
			v.do(life, func() { v.readFailed() })
		}
	})
	w.network.send(v.vm.Region, storeRegion, func() {
		if w.store.silent > 0 {
			return
		}
		failed := w.store.down > 0 || w.store.turnsAway[v.vm.Region] > 0
		got, historyLost := w.store.read(v.mirror.Revision(), v.whole)
		w.after(storeTakes, func() {
			w.network.send(storeRegion, v.vm.Region, func() {
				answered = true
				v.do(life, func() { v.tookRead(got, failed, historyLost) })
			})
		})
	})
}

func (v *vm) readFailed() {
	v.reading = false
	v.roster.SetTurnedAway(true)
	v.discovery.StoreLost()
}

func (v *vm) tookRead(got reading, failed, historyLost bool) {
	switch {
	case failed:
		v.discovery.StoreLost()
		v.roster.SetTurnedAway(true)
	case historyLost:
		v.whole = true
	default:
		v.whole = false
		v.discovery.StoreBack(v.now())
		v.roster.SetTurnedAway(false)
		v.takeNew(v.merge(got))
	}
	life := v.life
	v.world.after(readEvery, func() {
		v.do(life, func() { v.reading = false })
	})
}

func (v *vm) merge(got reading) []discovery.Item {
	if got.whole {
		return v.mirror.Replace(got.items, got.revision)
	}
	return v.mirror.Apply(got.items, got.revision)
}

// takeNew takes changes and tells some others of the region.
func (v *vm) takeNew(items []discovery.Item) {
	if len(items) == 0 {
		return
	}
	sortItems(items)
	for _, item := range items {
		v.takeChange(v.world.store.decode(item))
	}
	v.publish()
	v.exchange(v.roster.Spread(spreadTo))
}

func (v *vm) takeChange(c discovery.Change) {
	switch {
	case c.Key == "":
	case c.Evacuated != "" && v.world.fault == IgnoreEvacuation:
	case c.Endpoint != nil && !c.Removed && c.Endpoint.State != fleet.StateLive && v.world.fault == IgnoreLeaving:
	default:
		v.discovery.Take(c, v.now())
		v.changed = true
	}
}

func sortItems(items []discovery.Item) {
	slices.SortFunc(items, func(a, b discovery.Item) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
}
