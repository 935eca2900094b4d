package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// drainWithin is the time by which a leaving endpoint gets nothing more, and
	// evacuateWithin the same for a data centre that is emptied.
	drainWithin    = 4 * time.Second
	evacuateWithin = 5 * time.Second
	// configWithin is the time by which a version is in force.
	configWithin = 4 * time.Second
	// lapseAfter is when the entry of a lost endpoint goes.
	lapseAfter = 3 * time.Second
	// returnWithin is when entries that lapsed in an outage are back.
	returnWithin = 2 * time.Second
	// storeRegion is where the store stands.
	storeRegion = "r0"
	configKey   = "config"
	hostName    = "h"
	pathPrefix  = "/a/"
	// retryRatio, retrySlack and retryWindow bound the repeats over all VMs.
	retryRatio  = 0.2
	retrySlack  = 4
	retryWindow = 10 * time.Second
	routeWithin = 3 * time.Second
	// callWithin is the time that callers wait.
	callWithin = 4 * time.Second
)

// store is the store that VMs only read.
type store struct {
	world    *world
	revision uint64
	items    map[string]discovery.Item
	// changes are those since forgotten, by revision.
	changes   []discovery.Item
	forgotten uint64
	decoded   map[uint64]discovery.Change
	version   uint64
	// down and silent say how it fails; turnsAway are regions that it does not serve.
	down, silent int
	turnsAway    map[string]int
	unstableAt   time.Time
	acknowledged []acknowledgement
}

// acknowledgement is when the store took something that VMs must heed.
type acknowledgement struct {
	at        time.Time
	version   uint64
	evacuated string
	takenBack bool
	leaving   string
}

func newStore(w *world) *store {
	return &store{
		world:     w,
		items:     make(map[string]discovery.Item),
		decoded:   make(map[uint64]discovery.Change),
		turnsAway: make(map[string]int),
	}
}

// publish writes the next configuration.
func (s *store) publish() {
	s.version++
	s.write(configKey, discovery.Change{
		Key:   configKey,
		Table: s.table(),
	})
	s.acknowledge(acknowledgement{version: s.version})
}

func (s *store) table() *route.Table {
	return route.New(route.Options{
		Version: s.version,
		Routes: []route.Route{{
			Name:        "a",
			Host:        hostName,
			Prefix:      pathPrefix,
			Kind:        route.KindIdempotent,
			Timeout:     routeWithin,
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

// put writes an endpoint's entry; while the store is down nothing is written.
func (s *store) put(e *engine) {
	if s.down > 0 {
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
		s.acknowledge(acknowledgement{leaving: e.endpoint.ID})
	}
}

func (s *store) remove(e *engine) {
	if s.items[engineKey(e)].Revision == 0 {
		return
	}
	s.erase(engineKey(e), discovery.Change{
		Key:      engineKey(e),
		Removed:  true,
		Endpoint: &discovery.Endpoint{Endpoint: e.endpoint},
	})
}

// evacuate asks that nothing more goes to a region's data centre, for a while.
func (s *store) evacuate(region string, lasts time.Duration) {
	key := "evacuate/" + region
	s.write(key, discovery.Change{
		Key:       key,
		Evacuated: region,
	})
	s.acknowledge(acknowledgement{evacuated: region})
	s.world.after(lasts, func() {
		s.erase(key, discovery.Change{
			Key:       key,
			Removed:   true,
			Evacuated: region,
		})
		s.acknowledge(acknowledgement{evacuated: region, takenBack: true})
	})
}

func (s *store) acknowledge(a acknowledgement) {
	a.at = s.world.clock.now
	s.acknowledged = append(s.acknowledged, a)
}

func (s *store) write(key string, c discovery.Change) {
	s.revision++
	s.decoded[s.revision] = c
	item := discovery.Item{
		Key:      key,
		Revision: s.revision,
	}
	s.items[key] = item
	s.changes = append(s.changes, item)
}

func (s *store) erase(key string, c discovery.Change) {
	s.revision++
	s.decoded[s.revision] = c
	delete(s.items, key)
	s.changes = append(s.changes, discovery.Item{
		Key:      key,
		Revision: s.revision,
		Removed:  true,
	})
}

// decode returns what an item says. A removal that a mirror concluded from a whole
// read has no change of its own.
func (s *store) decode(i discovery.Item) discovery.Change {
	c, ok := s.decoded[i.Revision]
	if ok && c.Key == i.Key && c.Removed == i.Removed {
		return c
	}
	for _, known := range s.decoded {
		if known.Key == i.Key {
			known.Removed = true
			known.Table = nil
			return known
		}
	}
	return discovery.Change{}
}

// reading is what one read of the store brings.
type reading struct {
	items    []discovery.Item
	revision uint64
	whole    bool
}

// read answers a VM that holds the changes up to a revision.
func (s *store) read(after uint64, whole bool) (r reading, historyLost bool) {
	r.revision = s.revision
	if whole {
		r.whole = true
		for _, item := range s.items {
			r.items = append(r.items, item)
		}
		sortItems(r.items)
		return r, false
	}
	if after < s.forgotten {
		return r, true
	}
	for _, item := range s.changes {
		if item.Revision > after {
			r.items = append(r.items, item)
		}
	}
	return r, false
}

// forget drops the history.
func (s *store) forget() {
	s.changes = nil
	s.forgotten = s.revision
}

// outage takes the store away for some time. Entries lapse meanwhile, and those
// of endpoints that live are back soon after.
func (s *store) outage(lasts time.Duration, silent bool) {
	s.down++
	if silent {
		s.silent++
	}
	s.unstableAt = s.world.clock.now
	if lasts > lapseAfter {
		s.world.after(lapseAfter, s.lapse)
	}
	s.world.after(lasts, func() {
		s.down--
		if silent {
			s.silent--
		}
		s.unstableAt = s.world.clock.now
		s.renew()
	})
}

// lapse removes the entries of some endpoints that could not renew them.
func (s *store) lapse() {
	for _, e := range s.world.engines {
		if e.listed && e.up && s.world.rand.IntN(2) == 0 {
			s.remove(e)
		}
	}
}

func (s *store) renew() {
	for _, e := range s.world.engines {
		if e.up && e.endpoint.State == fleet.StateLive && s.items[engineKey(e)].Revision == 0 {
			s.world.after(s.world.between(0, returnWithin), func() {
				if e.up && e.endpoint.State == fleet.StateLive {
					s.put(e)
				}
			})
		}
	}
}

// refuse turns a region's VMs away for some time.
func (s *store) refuse(region string, lasts time.Duration) {
	s.turnsAway[region]++
	s.unstableAt = s.world.clock.now
	s.world.after(lasts, func() {
		s.turnsAway[region]--
		s.unstableAt = s.world.clock.now
	})
}
