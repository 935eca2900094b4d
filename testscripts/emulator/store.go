package emulator

import (
	"encoding/binary"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// drainTimeout and evacuationTimeout bound the time until a draining endpoint, or an
	// evacuated data centre, gets no more requests.
	drainTimeout      = 4 * time.Second
	evacuationTimeout = 5 * time.Second
	// configPropagation bounds the time until every VM uses a new configuration.
	configPropagation = 4 * time.Second
	// leaseTTL is when the entry of a lost endpoint expires.
	leaseTTL = 3 * time.Second
	// reregistrationTime bounds the time until expired entries return after an outage.
	reregistrationTime = 2 * time.Second
	// storeRegion is the region that hosts the store.
	storeRegion = "r0"
	configKey   = "config"
	routeHost   = "h"
	routePrefix = "/a/"
	// The retry budget over all VMs: retryBurst plus retryRatio of the requests per retryWindow.
	retryRatio   = 0.2
	retryBurst   = 4
	retryWindow  = 10 * time.Second
	routeTimeout = 3 * time.Second
	// callTimeout is how long callers wait.
	callTimeout = 4 * time.Second
)

// store simulates the central store, which VMs only read.
type store struct {
	world *world
	// position is that of the latest change.
	position discovery.Position
	entries  map[string]discovery.Item
	// history holds the changes after compactedRevision.
	history           []discovery.Item
	compactedRevision uint64
	// changes holds all changes ever written; an item's value is the index of its change.
	changes       []discovery.Change
	configVersion uint64
	// writtenAt is when each key was last written or removed.
	writtenAt map[string]time.Time
	// outages and silentOutages count the outages in progress, and denied those of single regions.
	outages, silentOutages int
	denied                 map[string]int
	lastFaultAt            time.Time
	acknowledged           []acknowledgement
}

// acknowledgement records a write that VMs must respect from then on.
type acknowledgement struct {
	at        time.Time
	version   uint64
	evacuated string
	canceled  bool
	draining  string
}

func newStore(w *world) *store {
	return &store{
		world:   w,
		entries: make(map[string]discovery.Item),
		denied:  make(map[string]int),

		writtenAt: make(map[string]time.Time),
	}
}

// publishConfig writes the next configuration version.
func (s *store) publishConfig() {
	s.configVersion++
	s.write(configKey, discovery.Change{
		Key:   configKey,
		Table: s.table(),
	})
	s.acknowledge(acknowledgement{version: s.configVersion})
}

func (s *store) table() *route.Table {
	return route.New(route.Options{
		Version: s.configVersion,
		Routes: []route.Route{{
			Name:        "a",
			Host:        routeHost,
			Prefix:      routePrefix,
			Kind:        route.KindIdempotent,
			Timeout:     routeTimeout,
			MaxAttempts: 2,
			Shares:      []route.Share{{Service: serviceName, Weight: 1}},
		}},
		Services: []route.Service{{
			Name:       serviceName,
			HealthPath: "/health",
			ColdFor:    coldFor,
		}},
	})
}

func engineKey(e *engine) string {
	return "engines/" + e.endpoint.ID
}

// put writes an endpoint's entry, unless the store is down.
func (s *store) put(e *engine) {
	if s.outages > 0 {
		return
	}
	change := discovery.Endpoint{
		Endpoint: e.endpoint,
	}
	if e.cold() {
		change.ColdFor = e.coldUntil.Sub(s.world.clock.now)
	}
	s.write(engineKey(e), discovery.Change{
		Key:      engineKey(e),
		Endpoint: &change,
	})
	if e.endpoint.State != fleet.StateLive {
		s.acknowledge(acknowledgement{draining: e.endpoint.ID})
	}
}

func (s *store) remove(e *engine) {
	if s.entries[engineKey(e)].Revision == 0 {
		return
	}
	s.deleteKey(engineKey(e), discovery.Change{
		Key:      engineKey(e),
		Removed:  true,
		Endpoint: &discovery.Endpoint{Endpoint: e.endpoint},
	})
}

// evacuates reports whether a data centre is being evacuated.
func (s *store) evacuates(dataCentre string) bool {
	evacuated := false
	for _, k := range s.acknowledged {
		if k.evacuated == dataCentre {
			evacuated = !k.canceled
		}
	}
	return evacuated
}

// evacuate evacuates a region's data centre for the duration.
func (s *store) evacuate(region string, duration time.Duration) {
	key := "evacuate/" + region
	s.write(key, discovery.Change{
		Key:       key,
		Evacuated: region,
	})
	s.acknowledge(acknowledgement{evacuated: region})
	s.world.after(duration, func() {
		s.deleteKey(key, discovery.Change{
			Key:       key,
			Removed:   true,
			Evacuated: region,
		})
		s.acknowledge(acknowledgement{evacuated: region, canceled: true})
	})
}

func (s *store) acknowledge(a acknowledgement) {
	a.at = s.world.clock.now
	s.acknowledged = append(s.acknowledged, a)
}

func (s *store) write(key string, c discovery.Change) {
	s.record(key, c)
	s.entries[key] = s.history[len(s.history)-1]
}

func (s *store) deleteKey(key string, c discovery.Change) {
	s.record(key, c)
	delete(s.entries, key)
}

// record appends a change to the history.
func (s *store) record(key string, c discovery.Change) {
	s.position.Revision++
	s.history = append(s.history, discovery.Item{
		Key:      key,
		Revision: s.position.Revision,
		Value:    binary.BigEndian.AppendUint32(nil, uint32(len(s.changes))),
		Removed:  c.Removed,
	})
	s.changes = append(s.changes, c)
	s.writtenAt[key] = s.world.clock.now
}

// decode returns the change behind an item. A removal inferred from a full read has
// no change of its own.
func (s *store) decode(i discovery.Item) discovery.Change {
	if len(i.Value) > 0 {
		return s.changes[binary.BigEndian.Uint32(i.Value)]
	}
	for _, known := range s.changes {
		if known.Key == i.Key {
			known.Removed = true
			known.Table = nil
			return known
		}
	}
	return discovery.Change{}
}

// readResult is the answer to one read of the store.
type readResult struct {
	items    []discovery.Item
	position discovery.Position
	full     bool
}

// read returns the changes after a revision, or all entries.
func (s *store) read(after uint64, full bool) (r readResult, historyLost bool) {
	r.position = s.position
	if full {
		r.full = true
		for _, item := range s.entries {
			r.items = append(r.items, item)
		}
		sortItems(r.items)
		return r, false
	}
	if after < s.compactedRevision || after > s.position.Revision {
		return r, true
	}
	for _, item := range s.history {
		if item.Revision > after {
			r.items = append(r.items, item)
		}
	}
	return r, false
}

// compact drops the history.
func (s *store) compact() {
	s.history = nil
	s.compactedRevision = s.position.Revision
}

// outage makes the store unavailable for the duration. Leases expire meanwhile, and live
// endpoints register again afterwards.
func (s *store) outage(duration time.Duration, silent bool) {
	s.outages++
	if silent {
		s.silentOutages++
	}
	s.lastFaultAt = s.world.clock.now
	if duration > leaseTTL {
		s.world.after(leaseTTL, s.expireEntries)
	}
	s.world.after(duration, func() {
		s.outages--
		if silent {
			s.silentOutages--
		}
		s.lastFaultAt = s.world.clock.now
		s.reregister()
	})
}

// expireEntries removes the entries of random endpoints that could not renew their leases.
func (s *store) expireEntries() {
	for _, e := range s.world.engines {
		if e.registered && e.up && s.world.rand.IntN(2) == 0 {
			s.remove(e)
		}
	}
}

func (s *store) reregister() {
	for _, e := range s.world.engines {
		if e.up && e.endpoint.State == fleet.StateLive && s.entries[engineKey(e)].Revision == 0 {
			s.world.after(s.world.randomDuration(0, reregistrationTime), func() {
				if e.up && e.endpoint.State == fleet.StateLive {
					s.put(e)
				}
			})
		}
	}
}

// deny rejects the reads of a region's VMs for the duration.
func (s *store) deny(region string, duration time.Duration) {
	s.denied[region]++
	s.lastFaultAt = s.world.clock.now
	s.world.after(duration, func() {
		s.denied[region]--
		s.lastFaultAt = s.world.clock.now
	})
}
