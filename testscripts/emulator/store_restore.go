package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// restoreOutage is how long the store is away before it comes back from a copy, and
	// rewriteTime the time in which what it lost is written again.
	restoreOutage = 500 * time.Millisecond
	rewriteTime   = 1500 * time.Millisecond
	// lostVersions configurations are published in the time that each copy lacks, and
	// newVersions after the last restore, one every newVersionInterval.
	lostVersions       = 12
	newVersions        = 3
	newVersionInterval = 2 * time.Second
	// lostEvacuation is how long an evacuation lasts that is published in that time.
	lostEvacuation = 15 * time.Second
)

// StoreRestores configures a store that comes back from older copies of itself.
type StoreRestores struct {
	Conditions

	// RestoreSeconds are the times of the restores after the warm-up. Each copy is
	// LossSeconds old.
	RestoreSeconds []float64 `json:"at"`
	LossSeconds    float64   `json:"loss"`
	// FrozenVM freezes a store reader during all restores, and DeniedRegion rejects the reads
	// of a region's VMs until after them.
	FrozenVM     bool `json:"frozen"`
	DeniedRegion bool `json:"denied"`
}

func (r StoreRestores) loss() time.Duration {
	return time.Duration(r.LossSeconds * float64(time.Second))
}

// scheduleRestores schedules the restores with the writes that they lose.
func (w *world) scheduleRestores(r StoreRestores) {
	if len(r.RestoreSeconds) == 0 {
		return
	}
	var last time.Duration
	for _, seconds := range r.RestoreSeconds {
		at := warmup + time.Duration(seconds*float64(time.Second))
		last = max(last, at)
		var saved storeCopy
		w.after(at-r.loss(), func() {
			saved = w.store.save()
			w.writeUnsaved(r.loss())
		})
		w.after(at, func() { w.store.outage(restoreOutage, false) })
		w.after(at+restoreOutage, func() { w.store.restore(saved) })
	}
	for i := range newVersions {
		w.after(last+rewriteTime+time.Duration(1+i)*newVersionInterval, func() { w.publishConfig(0) })
	}
	first := warmup + time.Duration(r.RestoreSeconds[0]*float64(time.Second))
	if r.FrozenVM {
		w.after(first-time.Second, func() { w.vms[0].freeze(last - first + 2*time.Second) })
	}
	if r.DeniedRegion {
		w.after(first-time.Second, func() { w.store.deny(w.vms[0].member.Region, last-first+2*time.Second) })
	}
}

// writeUnsaved publishes configurations, departures, a new engine and an evacuation within
// the duration.
func (w *world) writeUnsaved(duration time.Duration) {
	step := duration / (lostVersions + 1)
	for i := range lostVersions {
		w.after(time.Duration(1+i)*step, func() { w.publishConfig(0) })
	}
	w.after(step, func() { w.drainEngine(0) })
	w.after(2*step, func() { w.deregisterEngine(0) })
	w.after(3*step, func() {
		if w.store.outages == 0 {
			w.store.evacuate(regionName(w.topology.regions-1), lostEvacuation)
		}
	})
}

// storeCopy is what the store comes back with.
type storeCopy struct {
	revision          uint64
	entries           map[string]discovery.Item
	history           []discovery.Item
	compactedRevision uint64
}

func (s *store) save() storeCopy {
	return storeCopy{
		revision:          s.position.Revision,
		entries:           maps.Clone(s.entries),
		history:           slices.Clone(s.history),
		compactedRevision: s.compactedRevision,
	}
}

// restore begins an era with an older copy. Whatever it lacks is written again within
// rewriteTime.
func (s *store) restore(c storeCopy) {
	lost := s.entries
	s.position = discovery.Position{
		Era:      s.position.Era + 1,
		Revision: c.revision,
	}
	s.entries = maps.Clone(c.entries)
	s.history = slices.Clone(c.history)
	s.compactedRevision = c.compactedRevision
	s.lastFaultAt = s.world.clock.now
	for _, key := range s.differingKeys(lost) {
		item, held := lost[key]
		restoredAt := s.world.clock.now
		s.world.after(s.world.randomDuration(0, rewriteTime), func() { s.rewrite(key, item, held, restoredAt) })
	}
}

// differingKeys returns the keys whose items differ from those given, sorted.
func (s *store) differingKeys(other map[string]discovery.Item) []string {
	keys := make(map[string]bool)
	for _, list := range []map[string]discovery.Item{s.entries, other} {
		for key := range list {
			if s.entries[key].Revision != other[key].Revision {
				keys[key] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(keys))
}

// rewrite writes a lost item or removal again once the store answers, unless the key has been
// written since the restore, or the writer is gone.
func (s *store) rewrite(key string, item discovery.Item, held bool, restoredAt time.Time) {
	if s.writtenAt[key].After(restoredAt) {
		return
	}
	if s.outages > 0 {
		s.world.after(rewriteTime, func() { s.rewrite(key, item, held, restoredAt) })
		return
	}
	if !held {
		s.deleteKey(key, s.decode(discovery.Item{Key: key}))
		return
	}
	change := s.decode(item)
	if change.Endpoint == nil {
		s.write(key, change)
		return
	}
	if e := s.world.engineByID(change.Endpoint.ID); e.up && e.registered {
		s.put(e)
	} else if e.endpoint.State == fleet.StateLive {
		s.write(key, change)
	}
}
