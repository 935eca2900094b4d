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
	// wakeIntervals is how long, in intervals, after a pause of the process this VM
	// waits for news at the most.
	wakeIntervals = 3
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
	// startHurry is how many times more often than usual a VM exchanges after its
	// start, for as many rounds as startRounds at the most: 2.5 s by the usual interval
	// of 0.5 s.
	startHurry  = 5
	startRounds = 25
	// farEvery is how often, in intervals, a member of each other region is asked:
	// bytes between regions are dear, and a region's load changes in seconds.
	farEvery = 2
	// farAskers is how many members of a region ask each other region in a round, on
	// average: what they hear travels within the region, and bytes between regions
	// must not grow with the members. With two, regions of 30 that were cut off were
	// at times still named after 8 s (8 of 20 plays), with three they were not.
	farAskers = 3
	// farInDoubt is how many members of a region each member asks at the most in a
	// round while some there are in doubt, and askedForDoubt how many for each of
	// those: the death of one is no reason to ask all.
	farInDoubt    = 4
	askedForDoubt = 2
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

// newer reports whether r replaces what is held.
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
	// Regions are all regions that may have members; none means that it is not known.
	Regions []string
	// Rand spreads the exchanges.
	Rand func() uint64
}

// Roster is what one VM knows of the members. It is not safe for concurrent use.
type Roster struct {
	self    Rumor
	seeds   []string
	every   time.Duration
	regions []string
	rand    func() uint64
	members map[string]*member
	sums    sums
	// order is a shuffled round of the members of the own region.
	order []string
	next  time.Time
	round uint64
	// steppedAt tells a pause of the whole process.
	steppedAt time.Time
	// wokeAt is when a pause of the process ended, waking is set from then on until
	// there is news.
	wokeAt time.Time
	waking bool
	// most is the largest number of VMs that were known at once.
	most int
	// shown is what the last picture showed; shownStale is set once that has changed.
	shown      *shown
	shownStale bool
}

// member is a rumor with what this VM saw itself.
type member struct {
	Rumor
	misses    int
	suspectAt time.Time
	deadAt    time.Time
	askAt     time.Time
	// tookAt is when the rumor was taken, or made here.
	tookAt time.Time
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
		regions: o.Regions,
		rand:    o.Rand,
		members: make(map[string]*member),
		most:    1,
	}
	r.SetSeeds(o.Seeds)
	r.sums.add(r.self)
	return r
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) {
	r.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool {
		return seed == r.self.VM.PeerAddr
	})
}

// SetReady takes whether this VM takes calls.
func (r *Roster) SetReady(ready bool) {
	if r.self.Ready == ready {
		return
	}
	r.changeSelf(func(self *Rumor) {
		self.Ready = ready
		self.Version++
	})
}

// SetTurnedAway takes whether this VM cannot read the store.
func (r *Roster) SetTurnedAway(away bool) {
	if r.self.TurnedAway == away {
		return
	}
	r.changeSelf(func(self *Rumor) {
		self.TurnedAway = away
		self.Version++
	})
}

// Leave marks this VM as stopping, for good.
func (r *Roster) Leave() {
	r.changeSelf(func(self *Rumor) {
		self.State = StateLeft
		self.Ready = false
		self.Version++
	})
}

// Target is whom to exchange rumors with.
type Target struct {
	// VM has no id where only a seed's address is known.
	VM fleet.VM
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
	r.next = now.Add(r.interval())
	r.round++
	due = append(due, r.near()...)
	due = append(due, r.far()...)
	if r.round%deadEvery == 0 {
		due = append(due, r.dead()...)
	}
	return append(due, r.seedTargets()...)
}

// interval is the time until the next exchange: shorter after a start until a
// member of each region is known. After the loss of the whole fleet the first
// exchanges go to VMs that are not there yet and hang until their time is over,
// and a VM that knows no member elsewhere can send nothing there.
func (r *Roster) interval() time.Duration {
	if r.starting() {
		return r.every / startHurry
	}
	return r.every
}

// starting reports whether this VM has just begun and has yet to find regions.
func (r *Roster) starting() bool {
	if r.round >= startRounds {
		return false
	}
	found := map[string]bool{
		r.self.VM.Region: true,
	}
	for _, m := range r.members {
		if m.State < StateDead {
			found[m.VM.Region] = true
		}
	}
	return slices.ContainsFunc(r.regions, func(region string) bool { return !found[region] })
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

// doubtful members are asked more often until they answer or count as dead.
func (m *member) doubtful() bool {
	return m.State == StateSuspect || (m.State == StateAlive && m.misses > 0)
}

// wake forgets suspicions after a pause of the whole process: what looked like
// the others' silence was its own.
func (r *Roster) wake(now time.Time) {
	pause := now.Sub(r.steppedAt)
	if now.Sub(r.wokeAt) >= wakeIntervals*r.every {
		r.waking = false
	}
	if !r.steppedAt.IsZero() && pause > r.longestStep() {
		r.wokeAt = now
		r.waking = true
		r.shownStale = true
		for _, m := range r.members {
			m.misses = 0
			if m.State == StateSuspect {
				m.suspectAt = now
			}
		}
	}
	r.steppedAt = now
}

// longestStep is the longest time between two steps of a process that runs.
func (r *Roster) longestStep() time.Duration {
	return suspectIntervals * r.every
}

// Waking reports whether the process has paused and there was no news since.
func (r *Roster) Waking() bool {
	return r.waking
}

// News records that the endpoints were asked anew at a moment: what this VM
// believes of them is then not from before a pause.
func (r *Roster) News(askedAt time.Time) {
	if !askedAt.Before(r.wokeAt) {
		r.waking = false
	}
}

// settle turns suspicions whose time is over into deaths, and forgets old ones.
func (r *Roster) settle(now time.Time) {
	for id, m := range r.members {
		switch {
		case m.State == StateSuspect && !now.Before(m.suspectAt.Add(suspectIntervals*r.every)):
			m.deadAt = now
			r.judge(m, StateDead, now)
		case m.State >= StateDead && !now.Before(m.deadAt.Add(buriedIntervals*r.every)):
			r.sums.remove(m.Rumor)
			delete(r.members, id)
		}
	}
}

func (r *Roster) target(m *member) Target {
	return Target{
		VM: m.VM,
	}
}

// Self is this VM's own rumor.
func (r *Roster) Self() Rumor {
	return r.self
}

// changeSelf replaces the own rumor.
func (r *Roster) changeSelf(change func(self *Rumor)) {
	r.sums.remove(r.self)
	change(&r.self)
	r.sums.add(r.self)
	r.shownStale = true
}

// replace takes another rumor of a member. The sums change by the one rumor: covering
// all anew for each rumor of a message made one of 295 unknown members cost 295 times
// as much as it has rumors (BenchmarkHeard).
func (r *Roster) replace(m *member, rumor Rumor, now time.Time) {
	r.sums.remove(m.Rumor)
	m.Rumor = rumor
	m.tookAt = now
	r.sums.add(rumor)
	r.shownStale = true
}

// judge changes the state of a member by what this VM itself saw.
func (r *Roster) judge(m *member, state State, now time.Time) {
	rumor := m.Rumor
	rumor.State = state
	r.replace(m, rumor, now)
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
