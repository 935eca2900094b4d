// Package discovery turns what the store publishes into what a VM acts on: the
// table of routes, which never goes back, the endpoints that take new work,
// and the data centres that are evacuated. It is pure control state: time
// comes in as an argument.
package discovery

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// Change is one decoded item. Exactly one of the pointers is set.
type Change struct {
	Key     string
	Removed bool
	// Table is a newer configuration.
	Table *route.Table
	// Endpoint is an endpoint's entry; on a removal only its id is set.
	Endpoint *Endpoint
	// Unreadable says that the entry names no endpoint that could be used; only its
	// id is set.
	Unreadable bool
	// Evacuated names a data centre that gets no new work until the removal.
	Evacuated string
}

// Endpoint is one endpoint's entry.
type Endpoint struct {
	fleet.Endpoint
	// ColdFor is how long the endpoint stays cold from when the entry was written.
	ColdFor time.Duration
	// Remaining is how long a leaving endpoint still runs; zero means unknown.
	Remaining time.Duration
	// Seq counts the entries that one life of the endpoint wrote.
	Seq uint64
}

// Options set up a State.
type Options struct {
	// Grace is how long an entry that lapsed around an outage of the store may
	// stay away before its endpoint counts as gone.
	Grace time.Duration
}

// State is what a VM knows from the store. It is not safe for concurrent use.
type State struct {
	grace     time.Duration
	table     *route.Table
	endpoints map[string]*known
	// lives holds the newest word of each endpoint, also for a while after its removal.
	lives     map[string]life
	evacuated map[string]bool
	// away is set while the store cannot be read; settled is when entries that
	// lapsed during its last outage must be back.
	away    bool
	settled time.Time
}

// known is an endpoint with its deadlines.
type known struct {
	fleet.Endpoint
	coldUntil time.Time
	// coldNumber numbers the endpoint's own words that it is cold; zero means that
	// only the store has told it.
	coldNumber uint64
	// unreachedUntil is until when the endpoint counts as not answering.
	unreachedUntil time.Time
	// goneAt is set while the entry is missing.
	goneAt time.Time
	// endsAt is when a leaving endpoint stops, if it said so.
	endsAt time.Time
}

// New makes an empty State.
func New(o Options) *State {
	return &State{
		grace:     o.Grace,
		endpoints: make(map[string]*known),
		lives:     make(map[string]life),
		evacuated: make(map[string]bool),
	}
}

// SetGrace changes the grace for entries that lapse from now on.
func (s *State) SetGrace(grace time.Duration) {
	s.grace = grace
}

// StoreLost records that the store could not be read, and says whether that is new.
func (s *State) StoreLost() bool {
	was := s.away
	s.away = true
	return !was
}

// StoreBack records a successful read. It is to be called before the changes
// that the read brought are taken. It says whether the store was lost before.
func (s *State) StoreBack(now time.Time) bool {
	if !s.away {
		return false
	}
	s.away = false
	s.settled = now.Add(s.grace)
	return true
}

// Settling returns how long entries that lapsed in an outage may still come back.
func (s *State) Settling(now time.Time) time.Duration {
	if s.away {
		return s.grace
	}
	return max(s.settled.Sub(now), 0)
}

// SettleUntil takes that time from another VM, from which removals come.
func (s *State) SettleUntil(at time.Time) {
	if at.After(s.settled) {
		s.settled = at
	}
}

// Take applies one change and says whether it made a difference.
func (s *State) Take(c Change, now time.Time) bool {
	switch {
	case c.Table != nil:
		return s.takeTable(c.Table)
	case c.Evacuated != "":
		was := s.evacuated[c.Evacuated]
		s.evacuated[c.Evacuated] = !c.Removed
		return was == c.Removed
	case c.Endpoint != nil && c.Removed:
		return s.remove(c.Endpoint.ID, now)
	case c.Endpoint != nil && c.Unreadable:
		return s.drop(c.Endpoint.ID, now)
	case c.Endpoint != nil:
		return s.put(*c.Endpoint, now)
	default:
		return false
	}
}

// takeTable takes a table only if it is newer, whoever sent it.
func (s *State) takeTable(t *route.Table) bool {
	if s.table != nil && t.Version <= s.table.Version {
		return false
	}
	s.table = t
	return true
}

// put takes an endpoint's entry, unless a later one of it is known.
func (s *State) put(e Endpoint, now time.Time) bool {
	if !s.lives[e.ID].allows(e) {
		return false
	}
	s.lives[e.ID] = life{
		incarnation: e.Incarnation,
		seq:         e.Seq,
	}
	k := &known{
		Endpoint: e.Endpoint,
	}
	if e.ColdFor > 0 {
		k.coldUntil = now.Add(e.ColdFor)
	}
	if e.Remaining > 0 {
		k.endsAt = now.Add(e.Remaining)
	}
	s.endpoints[e.ID] = k
	return true
}

// Cold takes an endpoint's own word, told to this VM, that it is cold until a
// moment, and says whether that is new. It matters while the store, which tells
// it too, is away.
func (s *State) Cold(id string, until, now time.Time) bool {
	k, ok := s.endpoints[id]
	if !ok || !until.After(now) || !k.extendCold(until) {
		return false
	}
	k.coldNumber++
	return true
}

// HeardCold takes such a word from another VM, and says whether it is new. Each
// is late by the way that it came, so one that is known already never counts as
// a longer one: VMs with slow ways between them would tell it each other for good.
func (s *State) HeardCold(id string, number uint64, until, now time.Time) bool {
	k, ok := s.endpoints[id]
	if !ok || !until.After(now) {
		return false
	}
	if number <= k.coldNumber && now.Before(k.coldUntil.Add(coldForgotten)) {
		return false
	}
	k.coldNumber = number
	return k.extendCold(until)
}

// Unreached takes that an endpoint did not answer the VM of the region that asks it,
// and is to get no calls until a moment. It says whether that is new.
func (s *State) Unreached(id string, until, now time.Time) bool {
	k, ok := s.endpoints[id]
	if !ok || !until.After(now) || until.Sub(k.unreachedUntil) < unreachedNewer {
		return false
	}
	k.unreachedUntil = until
	return true
}

// unreachedNewer is by how much such a word must be longer to be told to others: ten
// times what the way of one between two VMs makes it longer.
const unreachedNewer = time.Second

const (
	// coldNewer is by how much an endpoint's word must be longer to be told to
	// others: two answers differ by the time that they were under way.
	coldNewer = 300 * time.Millisecond
	// coldForgotten is how long after its end a word is known: ten times the
	// longest exchange, so that none still under way brings it back. A VM that
	// asks an endpoint and began anew numbers from the start, which counts after that.
	coldForgotten = 10 * time.Second
)

func (k *known) extendCold(until time.Time) bool {
	if until.Sub(k.coldUntil) < coldNewer {
		return false
	}
	k.coldUntil = until
	return true
}

// remove takes an entry's removal. Around an outage of the store it may mean
// that the endpoint could not renew it, so it is given time to come back.
func (s *State) remove(id string, now time.Time) bool {
	k, ok := s.endpoints[id]
	if !ok {
		return false
	}
	switch {
	case s.away:
		k.goneAt = now.Add(s.grace)
	case now.Before(s.settled):
		k.goneAt = s.settled
	default:
		s.forget(id, now)
	}
	return true
}

// drop takes an endpoint out whose entry can no longer be read. Nothing can be
// sent to what no entry names, so no grace applies.
func (s *State) drop(id string, now time.Time) bool {
	if _, ok := s.endpoints[id]; !ok {
		return false
	}
	s.forget(id, now)
	return true
}

func (s *State) forget(id string, now time.Time) {
	delete(s.endpoints, id)
	l := s.lives[id]
	l.forgetAt = now.Add(lifeKept)
	s.lives[id] = l
}

// Step forgets the endpoints whose time is over.
func (s *State) Step(now time.Time) {
	for id, k := range s.endpoints {
		if !k.goneAt.IsZero() && !now.Before(k.goneAt) {
			s.forget(id, now)
		}
	}
	for id, l := range s.lives {
		if !l.forgetAt.IsZero() && !now.Before(l.forgetAt) {
			delete(s.lives, id)
		}
	}
}

// Next is when Step or the endpoints' states change by themselves; zero means never.
func (s *State) Next(now time.Time) time.Time {
	var next time.Time
	for _, k := range s.endpoints {
		for _, at := range []time.Time{k.goneAt, k.coldUntil, k.unreachedUntil} {
			if at.After(now) && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// Table is the newest table, nil while none is known.
func (s *State) Table() *route.Table {
	return s.table
}

// Ready is an endpoint that takes new work, cold ones only at a low rate.
type Ready struct {
	fleet.Endpoint
	// ColdUntil is zero for a warm endpoint.
	ColdUntil time.Time
	// ColdNumber is that of the endpoint's word for it, zero where there is none.
	ColdNumber uint64
	// UnreachedUntil is set for an endpoint that does not answer.
	UnreachedUntil time.Time
}

// Held returns those of Endpoints that get few calls or none now, as they are cold or do
// not answer, in no order.
func (s *State) Held(now time.Time) []Ready {
	var out []Ready
	for _, k := range s.endpoints {
		if s.takesWork(k) && (k.coldUntil.After(now) || k.unreachedUntil.After(now)) {
			out = append(out, k.ready(now))
		}
	}
	return out
}

func (s *State) takesWork(k *known) bool {
	return k.State == fleet.StateLive && !s.evacuated[k.DataCentre]
}

func (k *known) ready(now time.Time) Ready {
	r := Ready{
		Endpoint: k.Endpoint,
	}
	if k.coldUntil.After(now) {
		r.ColdUntil = k.coldUntil
		r.ColdNumber = k.coldNumber
	}
	if k.unreachedUntil.After(now) {
		r.UnreachedUntil = k.unreachedUntil
	}
	return r
}

// Endpoints returns the endpoints that take new work, by id.
func (s *State) Endpoints(now time.Time) []Ready {
	out := make([]Ready, 0, len(s.endpoints))
	for _, k := range s.endpoints {
		if s.takesWork(k) {
			out = append(out, k.ready(now))
		}
	}
	slices.SortFunc(out, func(a, b Ready) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
