// Package roster is the membership of a fleet that no list names: VMs find
// each other from a few seeds and exchange rumors. A VM that does not answer
// is suspected, and counts as dead unless it refutes that in time. It is pure
// control state of one goroutine: time comes in as an argument, and messages
// go out through the caller.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// State of a member. A higher one wins over a lower one of the same version.
type State uint8

// The states.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDead
	// StateLeft is a member's own word that it stops.
	StateLeft
)

const (
	// missesToSuspect are the exchanges in a row that a member must miss: one
	// may be lost with its connection.
	missesToSuspect = 2
	// hurry divides the interval to a member whose state is in doubt.
	hurry = 2
	// suspectIntervals is how long a suspicion lasts, in intervals: time for the
	// rumor to reach the suspect, and for its answer to come back, over a slow link.
	suspectIntervals = 3
	// buriedIntervals is how long a dead member is remembered, and now and then
	// asked, so that two parts of a split fleet find each other again.
	buriedIntervals = 240
	// deadEvery is how often, in intervals, a dead member is asked.
	deadEvery = 4
	// farEvery is how often, in intervals, a member of each other region is asked:
	// bytes between regions are dear, and a region's load changes in seconds.
	farEvery = 2
)

// Rumor is what is known of one member. The member itself raises Version with
// each change of its own.
type Rumor struct {
	VM          fleet.VM
	Incarnation uint64
	Version     uint32
	State       State
	// Ready says that the member takes calls.
	Ready bool
	// TurnedAway says that the member cannot read the store.
	TurnedAway bool
}

// newer says whether r replaces what is held.
func (r Rumor) newer(held Rumor) bool {
	return cmp.Or(
		cmp.Compare(r.Incarnation, held.Incarnation),
		cmp.Compare(r.Version, held.Version),
		cmp.Compare(r.State, held.State),
	) > 0
}

// Options set up a Roster.
type Options struct {
	Self        fleet.VM
	Incarnation uint64
	// Seeds are peer addresses to begin with; the own one is passed over.
	Seeds []string
	// Every is the interval between two exchanges.
	Every time.Duration
	// Rand spreads the exchanges.
	Rand func() uint64
}

// Roster is what one VM knows of the members. It is not safe for concurrent use.
type Roster struct {
	self    Rumor
	seeds   []string
	every   time.Duration
	rand    func() uint64
	members map[string]*member
	hash    uint64
	// order is a shuffled round of the members of the own region.
	order []string
	next  time.Time
	round uint64
	// steppedAt tells a pause of the whole process.
	steppedAt time.Time
	// most is the largest number of VMs that were known at once.
	most int
}

// member is a rumor with what this VM saw itself.
type member struct {
	Rumor
	misses    int
	suspectAt time.Time
	deadAt    time.Time
	askAt     time.Time
	// hash is the member's hash of all rumors as of its last message.
	hash uint64
}

// New makes a Roster that knows itself only.
func New(o Options) *Roster {
	r := &Roster{
		self: Rumor{
			VM:          o.Self,
			Incarnation: o.Incarnation,
			Version:     1,
			State:       StateAlive,
		},
		every:   o.Every,
		rand:    o.Rand,
		members: make(map[string]*member),
		most:    1,
	}
	r.SetSeeds(o.Seeds)
	r.rehash()
	return r
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) {
	r.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool {
		return seed == r.self.VM.PeerAddr
	})
}

// SetReady says whether this VM takes calls.
func (r *Roster) SetReady(ready bool) {
	if r.self.Ready == ready {
		return
	}
	r.self.Ready = ready
	r.self.Version++
	r.rehash()
}

// SetTurnedAway says whether this VM cannot read the store.
func (r *Roster) SetTurnedAway(away bool) {
	if r.self.TurnedAway == away {
		return
	}
	r.self.TurnedAway = away
	r.self.Version++
	r.rehash()
}

// Leave marks this VM as stopping, for good.
func (r *Roster) Leave() {
	r.self.State = StateLeft
	r.self.Ready = false
	r.self.Version++
	r.rehash()
}

// Target is whom to exchange rumors with.
type Target struct {
	// VM has no id where only a seed's address is known.
	VM fleet.VM
	// Full says that all rumors are to be sent, as the other may lack some.
	Full bool
}

// Step moves the state to now and gives the targets that are due.
func (r *Roster) Step(now time.Time) []Target {
	r.wake(now)
	r.settle(now)
	var due []Target
	for _, m := range r.members {
		if m.doubtful() && !now.Before(m.askAt) {
			m.askAt = now.Add(r.every / hurry)
			due = append(due, r.target(m))
		}
	}
	if now.Before(r.next) {
		return due
	}
	r.next = now.Add(r.every)
	r.round++
	due = append(due, r.near()...)
	if r.round%farEvery == 0 || r.inDoubt() {
		due = append(due, r.far()...)
	}
	if r.round%deadEvery == 0 {
		due = append(due, r.dead()...)
	}
	return append(due, r.seedTargets()...)
}

// Next is when Step is due again.
func (r *Roster) Next(now time.Time) time.Time {
	next := r.next
	for _, m := range r.members {
		if m.doubtful() && m.askAt.Before(next) {
			next = m.askAt
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// inDoubt says whether a member of another region is, so that the others there
// are asked sooner: a region is lost as a whole more often than one VM of it.
func (r *Roster) inDoubt() bool {
	for _, m := range r.members {
		if m.VM.Region != r.self.VM.Region && m.doubtful() {
			return true
		}
	}
	return false
}

// doubtful members are asked more often until they answer or count as dead.
func (m *member) doubtful() bool {
	return m.State == StateSuspect || (m.State == StateAlive && m.misses > 0)
}

// wake forgets suspicions after a pause of the whole process: what looked like
// the others' silence was its own.
func (r *Roster) wake(now time.Time) {
	pause := now.Sub(r.steppedAt)
	if !r.steppedAt.IsZero() && pause > suspectIntervals*r.every {
		for _, m := range r.members {
			m.misses = 0
			if m.State == StateSuspect {
				m.suspectAt = now
			}
		}
	}
	r.steppedAt = now
}

// settle turns suspicions whose time is over into deaths, and forgets old ones.
func (r *Roster) settle(now time.Time) {
	for id, m := range r.members {
		switch {
		case m.State == StateSuspect && !now.Before(m.suspectAt.Add(suspectIntervals*r.every)):
			m.State = StateDead
			m.deadAt = now
			r.rehash()
		case m.State >= StateDead && !now.Before(m.deadAt.Add(buriedIntervals*r.every)):
			delete(r.members, id)
			r.rehash()
		}
	}
}

func (r *Roster) target(m *member) Target {
	return Target{
		VM:   m.VM,
		Full: m.hash != r.hash,
	}
}

// near gives the next member of the own region in a shuffled round, so that
// each is asked by somebody within about one interval, however many there are.
func (r *Roster) near() []Target {
	for range 2 {
		for len(r.order) > 0 {
			id := r.order[0]
			r.order = r.order[1:]
			if m, ok := r.members[id]; ok && m.State < StateDead {
				return []Target{r.target(m)}
			}
		}
		for id, m := range r.members {
			if m.VM.Region == r.self.VM.Region && m.State < StateDead {
				r.order = append(r.order, id)
			}
		}
		slices.Sort(r.order)
		r.shuffle()
	}
	return nil
}

func (r *Roster) shuffle() {
	for i := len(r.order) - 1; i > 0; i-- {
		j := int(r.rand() % uint64(i+1))
		r.order[i], r.order[j] = r.order[j], r.order[i]
	}
}

// Spread gives a few random members of the own region, to be told of something new.
func (r *Roster) Spread(count int) []Target {
	var near []*member
	for _, m := range r.sorted() {
		if m.VM.Region == r.self.VM.Region && m.State == StateAlive {
			near = append(near, m)
		}
	}
	var out []Target
	for range min(count, len(near)) {
		i := int(r.rand() % uint64(len(near)))
		out = append(out, r.target(near[i]))
		near = slices.Delete(near, i, i+1)
	}
	return out
}

// far gives one random living member of each other region. Those in doubt are
// asked anyway.
func (r *Roster) far() []Target {
	byRegion := make(map[string][]*member)
	for _, m := range r.sorted() {
		if m.VM.Region != r.self.VM.Region && m.State < StateDead && !m.doubtful() {
			byRegion[m.VM.Region] = append(byRegion[m.VM.Region], m)
		}
	}
	var out []Target
	for _, list := range byRegion {
		out = append(out, r.target(list[r.rand()%uint64(len(list))]))
	}
	return out
}

// dead gives one random member that counts as dead.
func (r *Roster) dead() []Target {
	var list []*member
	for _, m := range r.sorted() {
		if m.State == StateDead {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return []Target{r.target(list[r.rand()%uint64(len(list))])}
}

func (r *Roster) sorted() []*member {
	list := make([]*member, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return list
}

// seedTargets gives the seeds at which no living member is known.
func (r *Roster) seedTargets() []Target {
	known := make(map[string]bool)
	for _, m := range r.members {
		if m.State < StateDead {
			known[m.VM.PeerAddr] = true
		}
	}
	var out []Target
	for _, seed := range r.seeds {
		// One at a time is enough once others are known.
		if known[seed] || (len(known) > 0 && r.round%deadEvery != 0) {
			continue
		}
		out = append(out, Target{
			VM: fleet.VM{
				PeerAddr: seed,
			},
			Full: true,
		})
	}
	return out
}

// Self is this VM's own rumor.
func (r *Roster) Self() Rumor {
	return r.self
}

// Hash covers all rumors held.
func (r *Roster) Hash() uint64 {
	return r.hash
}

// Rumors gives all rumors held, with the own one.
func (r *Roster) Rumors() []Rumor {
	out := []Rumor{r.self}
	for _, m := range r.sorted() {
		out = append(out, m.Rumor)
	}
	return out
}

// Heard takes a message of a member, whose own rumor is from.
func (r *Roster) Heard(from Rumor, hash uint64, rumors []Rumor, now time.Time) {
	r.take(from, now)
	for _, rumor := range rumors {
		r.take(rumor, now)
	}
	if m, ok := r.members[from.VM.ID]; ok && m.Incarnation == from.Incarnation {
		m.misses = 0
		m.hash = hash
	}
}

func (r *Roster) take(rumor Rumor, now time.Time) {
	if rumor.VM.ID == r.self.VM.ID {
		r.refute(rumor)
		return
	}
	m, ok := r.members[rumor.VM.ID]
	if ok && !rumor.newer(m.Rumor) {
		return
	}
	if !ok {
		m = &member{}
		r.members[rumor.VM.ID] = m
	}
	if rumor.Incarnation != m.Incarnation || rumor.State == StateAlive {
		m.misses = 0
	}
	switch rumor.State {
	case StateSuspect:
		m.suspectAt = now
	case StateDead, StateLeft:
		m.deadAt = now
	}
	m.Rumor = rumor
	r.rehash()
	r.most = max(r.most, len(r.members)+1)
}

// refute answers a rumor about this VM that is not its own word: an earlier
// life's, or that it is dead.
func (r *Roster) refute(rumor Rumor) {
	if rumor.Incarnation > r.self.Incarnation {
		// The clock has stepped back since the earlier life began.
		r.self.Incarnation = rumor.Incarnation + 1
		r.rehash()
		return
	}
	if rumor.Incarnation == r.self.Incarnation && rumor.newer(r.self) {
		r.self.Version = rumor.Version + 1
		r.rehash()
	}
}

// Missed records that a member did not answer an exchange or a call.
func (r *Roster) Missed(id string, now time.Time) {
	m, ok := r.members[id]
	if !ok || m.State >= StateDead {
		return
	}
	m.misses++
	m.askAt = now.Add(r.every / hurry)
	if m.State == StateAlive && m.misses >= missesToSuspect {
		m.State = StateSuspect
		m.suspectAt = now
		r.rehash()
	}
}

// Refused records that a member's address refused a connection: its process is
// gone, and one that is started there again has another incarnation.
func (r *Roster) Refused(id string, now time.Time) {
	m, ok := r.members[id]
	if !ok || m.State >= StateDead {
		return
	}
	m.State = StateDead
	m.deadAt = now
	r.rehash()
}

// rehash covers the own rumor and all others.
func (r *Roster) rehash() {
	r.hash = r.self.digest()
	for _, m := range r.members {
		r.hash += m.digest()
	}
}

// digest does not depend on the order of members, as sums of it are taken.
func (r Rumor) digest() uint64 {
	h := xxhash.Sum64String(r.VM.ID)
	for _, part := range []uint64{r.Incarnation, uint64(r.Version), uint64(r.State)} {
		h = (h ^ part) * 0x9e3779b97f4a7c15
		h ^= h >> 29
	}
	return h
}

// Member is one VM as a picture shows it.
type Member struct {
	VM          fleet.VM
	Incarnation uint64
	// Reachable is false for suspected members too.
	Reachable  bool
	Ready      bool
	TurnedAway bool
}

// Picture is what traffic reads. It never changes.
type Picture struct {
	Self fleet.VM
	// Members holds all but the dead ones, this VM included, by id.
	Members []Member
	// Most is the largest number of VMs known at once.
	Most int
}

// Picture gives the picture of now.
func (r *Roster) Picture() *Picture {
	p := &Picture{
		Self: r.self.VM,
		Most: r.most,
	}
	p.Members = append(p.Members, Member{
		VM:          r.self.VM,
		Incarnation: r.self.Incarnation,
		Reachable:   r.self.State == StateAlive,
		Ready:       r.self.Ready,
		TurnedAway:  r.self.TurnedAway,
	})
	for _, m := range r.members {
		if m.State >= StateDead {
			continue
		}
		p.Members = append(p.Members, Member{
			VM:          m.VM,
			Incarnation: m.Incarnation,
			Reachable:   m.State == StateAlive && m.misses < missesToSuspect,
			Ready:       m.Ready,
			TurnedAway:  m.TurnedAway,
		})
	}
	slices.SortFunc(p.Members, func(a, b Member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return p
}
