// Package discovery maintains a VM's view of the configuration store: the routing
// table, the endpoints that accept new calls and the data centres that are evacuated.
// It does no I/O and takes the current time as an argument.
package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// Change is a decoded item of the store.
type Change struct {
	Key     string
	Removed bool
	// Table is set for a routing table.
	Table *route.Table
	// Endpoint is set for an endpoint's entry; only its id is set if the entry was
	// removed or is unreadable.
	Endpoint *Endpoint
	// Unreadable says that the endpoint's entry could not be decoded.
	Unreadable bool
	// Evacuated is set for an evacuated data centre, which gets no new calls until the
	// item is removed.
	Evacuated string
	// Restored says that the store has come back from an older copy of itself, which holds
	// the item or, if it is removed, lacks it.
	Restored bool
}

// Endpoint is an endpoint's entry in the store.
type Endpoint struct {
	fleet.Endpoint
	// ColdFor is how long the endpoint stays cold after the entry was written.
	ColdFor time.Duration
	// Remaining is how long a draining endpoint keeps running; zero means unknown.
	Remaining time.Duration
	// Seq is the sequence number of the entry within the endpoint's incarnation.
	Seq uint64
}

// Options configures a State.
type Options struct {
	// Grace is how long an endpoint is kept after its entry expired during or shortly
	// after an outage of the store.
	Grace time.Duration
}

// State is a VM's view of the store. It is not safe for concurrent use.
type State struct {
	grace     time.Duration
	table     *route.Table
	endpoints map[string]*endpointState
	// sortedIDs holds the ids of endpoints in order; nil if they may have changed.
	sortedIDs []string
	// versions holds the newest version of each endpoint's entry, for a while also after
	// its removal.
	versions  map[string]entryVersion
	evacuated map[string]bool
	// storeLost is set while the store cannot be read; graceEndsAt is when entries that
	// expired during its last outage are removed unless they were renewed.
	storeLost   bool
	graceEndsAt time.Time
	// evacuationEnds holds the evacuations that an older copy of the store lacks, with the
	// time at which they end unless they are written again.
	evacuationEnds map[string]time.Time
	// deadlines holds the times at which endpoints change without a message, expiring the
	// versions of removed endpoints in the order in which they expire.
	deadlines deadlines
	expiring  []string
	// degraded holds the endpoints that are cold or unreachable, and some that were.
	// changed holds those that changed since the last TakeChanges.
	degraded map[string]bool
	changed  map[string]bool
	// leaving holds the endpoints that said in a response that they leave.
	leaving map[string]leavingNotice
}

// endpointState is an endpoint with the times at which its state changes.
type endpointState struct {
	fleet.Endpoint
	coldUntil time.Time
	// coldReportNumber is the number of the endpoint's last own report that it is cold;
	// zero means that only the store has reported it. Numbers begin at the time in
	// milliseconds, so that they grow although the VM that gives them has restarted.
	coldReportNumber uint64
	// reportedColdUntil is the latest end of a cold period that the endpoint itself reported.
	reportedColdUntil time.Time
	// unreachableUntil is the time until which the endpoint counts as unreachable.
	unreachableUntil time.Time
	// removeAt is set while the entry is missing from the store.
	removeAt time.Time
	// stopsAt is when a draining endpoint stops; zero means unknown.
	stopsAt time.Time
}

// New returns an empty State.
func New(o Options) *State {
	return &State{
		grace:          o.Grace,
		endpoints:      make(map[string]*endpointState),
		versions:       make(map[string]entryVersion),
		evacuated:      make(map[string]bool),
		evacuationEnds: make(map[string]time.Time),
		degraded:       make(map[string]bool),
		changed:        make(map[string]bool),
		leaving:        make(map[string]leavingNotice),
	}
}

// SetGrace sets the grace period for entries that expire from now on.
func (s *State) SetGrace(grace time.Duration) {
	s.grace = grace
}

// StoreLost records a failed read of the store. It reports whether this is the first
// since the last successful one.
func (s *State) StoreLost() bool {
	was := s.storeLost
	s.storeLost = true
	return !was
}

// StoreRecovered records a successful read of the store and reports whether it ends an
// outage. It must be called before the changes that were read are applied.
func (s *State) StoreRecovered(now time.Time) bool {
	if !s.storeLost {
		return false
	}
	s.storeLost = false
	s.graceEndsAt = now.Add(s.grace)
	return true
}

// GraceRemaining returns the rest of the grace period for entries that expired in an outage.
func (s *State) GraceRemaining(now time.Time) time.Duration {
	if s.storeLost {
		return s.grace
	}
	return max(s.graceEndsAt.Sub(now), 0)
}

// ExtendGrace extends the grace period to that of the peer that removals come from.
func (s *State) ExtendGrace(at time.Time) {
	if at.After(s.graceEndsAt) {
		s.graceEndsAt = at
	}
}

// Apply applies a change and reports whether it modified the state.
func (s *State) Apply(c Change, now time.Time) bool {
	switch {
	case c.Table != nil:
		return s.applyTable(c.Table)
	case c.Evacuated != "" && c.Removed && c.Restored:
		return s.endEvacuationLater(c.Evacuated, now)
	case c.Evacuated != "":
		delete(s.evacuationEnds, c.Evacuated)
		return s.evacuate(c.Evacuated, !c.Removed)
	case c.Endpoint != nil && c.Removed:
		return s.removeEndpoint(c.Endpoint.ID, now)
	case c.Endpoint != nil && c.Restored && !s.isNewerThanKnown(c):
		return false
	case c.Endpoint != nil && c.Unreadable:
		return s.dropEndpoint(c.Endpoint.ID, now)
	case c.Endpoint != nil:
		return s.putEndpoint(*c.Endpoint, now)
	default:
		return false
	}
}

// applyTable replaces the table if the given one is newer.
func (s *State) applyTable(t *route.Table) bool {
	if s.table != nil && t.Version <= s.table.Version {
		return false
	}
	s.table = t
	return true
}

// evacuate marks a data centre as evacuated or as back in use.
func (s *State) evacuate(dataCentre string, evacuated bool) bool {
	if s.evacuated[dataCentre] == evacuated {
		return false
	}
	s.evacuated[dataCentre] = evacuated
	for id, k := range s.endpoints {
		if k.DataCentre == dataCentre {
			s.changed[id] = true
		}
	}
	return true
}

// putEndpoint stores an endpoint's entry unless a newer one is known. It reports whether
// the entry says anything new.
func (s *State) putEndpoint(e Endpoint, now time.Time) bool {
	if !s.versions[e.ID].accepts(e) {
		return false
	}
	s.versions[e.ID] = entryVersion{
		incarnation: e.Incarnation,
		seq:         e.Seq,
	}
	k := &endpointState{
		Endpoint: e.Endpoint,
	}
	if e.ColdFor > 0 {
		k.coldUntil = now.Add(e.ColdFor)
	}
	if e.Remaining > 0 {
		k.stopsAt = now.Add(e.Remaining)
	}
	before := s.endpoints[e.ID]
	if before == nil {
		s.sortedIDs = nil
	}
	s.endpoints[e.ID] = k
	if before != nil && before.settled() && k.settled() && before.Endpoint == k.Endpoint {
		return false
	}
	s.schedule(k, k.coldUntil)
	return true
}

// settled reports whether an endpoint does not change without a message.
func (k *endpointState) settled() bool {
	return k.coldUntil.IsZero() && k.unreachableUntil.IsZero() && k.removeAt.IsZero()
}

// schedule records that an endpoint has changed and changes again at the given time; zero
// means not again.
func (s *State) schedule(k *endpointState, at time.Time) {
	s.changed[k.ID] = true
	s.deadlines.add(k.ID, at)
	if !k.coldUntil.IsZero() || !k.unreachableUntil.IsZero() {
		s.degraded[k.ID] = true
	}
}

// ReportUnreachable records that an endpoint did not answer the VM of the region that probes it,
// and returns whether this is new. The endpoint gets no calls until the given time.
func (s *State) ReportUnreachable(id string, until, now time.Time) bool {
	k, ok := s.endpoints[id]
	if !ok || !until.After(now) || until.Sub(k.unreachableUntil) < minUnreachableExtension {
		return false
	}
	k.unreachableUntil = until
	s.schedule(k, until)
	return true
}

// minUnreachableExtension is the smallest extension that counts as new; it exceeds the
// shift that network latency adds to a forwarded report.
const minUnreachableExtension = time.Second

// removeEndpoint handles the removal of an entry. During or shortly after an outage of
// the store, the endpoint may have been unable to renew it, so a grace period applies.
func (s *State) removeEndpoint(id string, now time.Time) bool {
	k, ok := s.endpoints[id]
	if !ok {
		return false
	}
	switch {
	case s.storeLost:
		k.removeAt = now.Add(s.grace)
	case now.Before(s.graceEndsAt):
		k.removeAt = s.graceEndsAt
	default:
		s.deleteEndpoint(id, now)
		return true
	}
	s.schedule(k, k.removeAt)
	return true
}

// dropEndpoint removes an endpoint whose entry cannot be decoded. No grace period
// applies, because the endpoint's address is unknown.
func (s *State) dropEndpoint(id string, now time.Time) bool {
	if _, ok := s.endpoints[id]; !ok {
		return false
	}
	s.deleteEndpoint(id, now)
	return true
}

func (s *State) deleteEndpoint(id string, now time.Time) {
	delete(s.endpoints, id)
	s.sortedIDs = nil
	delete(s.degraded, id)
	s.changed[id] = true
	version := s.versions[id]
	version.expiresAt = now.Add(versionRetention)
	s.versions[id] = version
	s.expiring = append(s.expiring, id)
}

// Advance applies the deadlines up to now: endpoints become warm or reachable again, and
// those whose grace period is over are removed.
func (s *State) Advance(now time.Time) {
	for id, due := s.deadlines.takeDue(now); due; id, due = s.deadlines.takeDue(now) {
		k, ok := s.endpoints[id]
		if !ok {
			continue
		}
		s.changed[id] = true
		if !k.removeAt.IsZero() && !now.Before(k.removeAt) {
			s.deleteEndpoint(id, now)
		}
	}
	s.expireVersions(now)
	s.forgetLeaving(now)
	s.endEvacuations(now)
}

// expireVersions forgets the versions of endpoints that were removed long ago. One that
// returned and was removed again is listed twice.
func (s *State) expireVersions(now time.Time) {
	for len(s.expiring) > 0 {
		id := s.expiring[0]
		version, ok := s.versions[id]
		if ok && now.Before(version.expiresAt) {
			return
		}
		s.expiring = s.expiring[1:]
		if ok && !version.expiresAt.IsZero() {
			delete(s.versions, id)
		}
	}
}

// NextChange returns the earliest time at which an endpoint is removed, becomes warm or
// counts as reachable again, or an evacuation ends; zero means never. Advance must have been
// called before.
func (s *State) NextChange() time.Time {
	next := s.deadlines.next(func(d deadline) bool {
		k, ok := s.endpoints[d.id]
		return ok && (d.at.Equal(k.removeAt) || d.at.Equal(k.coldUntil) || d.at.Equal(k.unreachableUntil))
	})
	for _, at := range s.evacuationEnds {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Table returns the newest routing table, or nil if none is known.
func (s *State) Table() *route.Table {
	return s.table
}

// AvailableEndpoint is an endpoint that accepts new calls, at a low rate while it is cold.
type AvailableEndpoint struct {
	fleet.Endpoint
	// ColdUntil is zero for a warm endpoint.
	ColdUntil time.Time
	// ColdReportNumber is the number of the endpoint's own cold report; zero means none.
	ColdReportNumber uint64
	// IsColdByEntry is set for a cold endpoint if only its entry says that it is cold until then.
	IsColdByEntry bool
	// UnreachableUntil is zero for a reachable endpoint.
	UnreachableUntil time.Time
}

// Degraded returns the endpoints of Endpoints that are cold or unreachable, in no particular
// order.
func (s *State) Degraded(now time.Time) []AvailableEndpoint {
	var out []AvailableEndpoint
	for id := range s.degraded {
		k := s.endpoints[id]
		switch {
		case !k.coldUntil.After(now) && !k.unreachableUntil.After(now):
			delete(s.degraded, id)
		case s.acceptsCalls(k):
			out = append(out, k.ready(now))
		}
	}
	return out
}

// EndpointChange says what became of one endpoint.
type EndpointChange struct {
	ID string
	// Endpoint is nil if the endpoint no longer accepts calls.
	Endpoint *AvailableEndpoint
}

// TakeChanges returns the endpoints that may have changed since the last call, in no
// particular order.
func (s *State) TakeChanges(now time.Time) []EndpointChange {
	if len(s.changed) == 0 {
		return nil
	}
	out := make([]EndpointChange, 0, len(s.changed))
	for id := range s.changed {
		c := EndpointChange{
			ID: id,
		}
		if k, ok := s.endpoints[id]; ok && s.acceptsCalls(k) {
			ready := k.ready(now)
			c.Endpoint = &ready
		}
		out = append(out, c)
	}
	clear(s.changed)
	return out
}

func (s *State) acceptsCalls(k *endpointState) bool {
	return k.State == fleet.StateLive && !s.evacuated[k.DataCentre] && !s.saysLeaving(k)
}

func (k *endpointState) ready(now time.Time) AvailableEndpoint {
	r := AvailableEndpoint{
		Endpoint: k.Endpoint,
	}
	if k.coldUntil.After(now) {
		r.ColdUntil = k.coldUntil
		r.ColdReportNumber = k.coldReportNumber
		r.IsColdByEntry = k.isColdByEntry()
	}
	if k.unreachableUntil.After(now) {
		r.UnreachableUntil = k.unreachableUntil
	}
	return r
}

// Endpoints returns the endpoints that accept new calls, sorted by id.
func (s *State) Endpoints(now time.Time) []AvailableEndpoint {
	if s.sortedIDs == nil {
		s.sortedIDs = slices.Sorted(maps.Keys(s.endpoints))
	}
	out := make([]AvailableEndpoint, 0, len(s.sortedIDs))
	for _, id := range s.sortedIDs {
		if k := s.endpoints[id]; s.acceptsCalls(k) {
			out = append(out, k.ready(now))
		}
	}
	return out
}
