// Package roster implements gossip membership for a fleet without a central list: VMs
// find each other through a few seeds and exchange rumors. A VM that doesn't answer is
// suspected, and considered dead unless it refutes the suspicion in time. Roster is
// owned by one goroutine and does no I/O: callers pass in the time and send the
// messages.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// State is the state of a member. For the same version, a higher state overrides a
// lower one.
type State uint8

// Member states in ascending precedence.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDead
	// StateLeft is announced by a member that stops.
	StateLeft
)

const (
	// missesToSuspect is the number of exchanges in a row after which a member is
	// suspected. A single one may be lost with its connection.
	missesToSuspect = 2
	// maxResumeIntervals is how long, in intervals, a VM at most waits for fresh probe
	// results after a pause of its process.
	maxResumeIntervals = 3
	// doubtfulIntervalDivisor shortens the interval to a member whose state is
	// uncertain.
	doubtfulIntervalDivisor = 2
	// suspectIntervals is how long a suspicion lasts, in intervals: enough for the
	// rumor to reach the suspect and for its refutation to return over a slow link.
	suspectIntervals = 3
	// deadRetentionIntervals is how long, in intervals, a dead member is remembered and
	// still contacted at times, so that the parts of a split fleet rejoin.
	deadRetentionIntervals = 240
	// deadExchangeIntervals is the number of intervals between exchanges with dead
	// members.
	deadExchangeIntervals = 4
	// startIntervalDivisor shortens the interval after a start, for at most
	// maxStartRounds rounds.
	startIntervalDivisor = 5
	maxStartRounds       = 25
	// remoteExchangeIntervals is the number of intervals between exchanges with other
	// regions. Traffic between regions is expensive, so it is lower than within one.
	remoteExchangeIntervals = 2
	// remoteExchangersPerRegion is how many members of a region, on average, contact
	// each other region in a round. It keeps the traffic between regions independent of
	// the fleet's size. With two, regions of 30 VMs that are cut off are at times still
	// listed after 8 s.
	remoteExchangersPerRegion = 3
	// maxTargetsPerRemoteRegion limits how many members of a region are contacted in a
	// round while some there are doubtful. Each doubtful one adds
	// targetsPerDoubtfulMember.
	maxTargetsPerRemoteRegion = 4
	targetsPerDoubtfulMember  = 2
)

// Rumor is what is known about one member. The member increments Version with each
// change.
type Rumor struct {
	VM          fleet.VM
	Incarnation uint64
	Version     uint32
	State       State
	// Ready reports whether the member takes calls.
	Ready bool
	// StoreUnreadable reports whether the member fails to read the store.
	StoreUnreadable bool
}

// supersedes reports whether r replaces the rumor held.
func (r Rumor) supersedes(held Rumor) bool {
	return cmp.Or(
		cmp.Compare(r.Incarnation, held.Incarnation),
		cmp.Compare(r.Version, held.Version),
		cmp.Compare(r.State, held.State),
	) > 0
}

// Options configures a Roster.
type Options struct {
	Self        fleet.VM
	Incarnation uint64
	// Seeds are the peer addresses of the first contacts. The own address is ignored.
	Seeds []string
	// Every is the interval between exchanges.
	Every time.Duration
	// Regions are all regions that may have members. Empty means that they are unknown.
	Regions []string
	// Rand returns random bits for the selection of targets.
	Rand func() uint64
}

// Roster is one VM's knowledge of the members. It is not safe for concurrent use.
type Roster struct {
	self           Rumor
	seeds          []string
	isSeed         bool
	gossipInterval time.Duration
	regions        []string
	rand           func() uint64
	members        map[string]*member
	// sorted holds the members by ID.
	sorted     []*member
	bucketSums bucketSums
	// localRound holds the members of the own region still to contact, in random order.
	localRound  []string
	nextRoundAt time.Time
	round       uint64
	// advancedAt is the time of the last Step, used to detect a pause of the process.
	advancedAt time.Time
	// resumedAt is when the last pause of the process ended. resuming is set from then
	// until the endpoints have been probed again.
	resumedAt time.Time
	resuming  bool
	// maxKnown is the largest number of VMs known at once.
	maxKnown int
	// startedAt is the time of the first Step. fleetSeen is set once a member of each region
	// and at each seed's address has been heard of, or fleetSeenTimeout after the start.
	startedAt time.Time
	fleetSeen bool
	// regionSizes estimates the size of each region. wasTold is set once another VM has told
	// this one that of its own region.
	regionSizes map[string]*fleet.SizeEstimate
	wasTold     bool
	// memberIndex is shared by Snapshots. memberIndexStale is set once members have
	// changed.
	memberIndex      *memberIndex
	memberIndexStale bool
	// shownSelf is this VM as Snapshots show it.
	shownSelf *Member
}

// member is a rumor with this VM's own observations.
type member struct {
	Rumor
	misses         int
	suspectAt      time.Time
	deadAt         time.Time
	nextExchangeAt time.Time
	// updatedAt is when the rumor was received or created.
	updatedAt time.Time
	// shown is the member as Snapshots show it; nil if they don't.
	shown *Member
}

// New returns a Roster that knows only itself.
func New(o Options) *Roster {
	r := &Roster{
		self: Rumor{
			VM:          o.Self,
			Incarnation: o.Incarnation,
			Version:     1,
			State:       StateAlive,
		},
		gossipInterval: o.Every,
		regions:        o.Regions,
		rand:           o.Rand,
		members:        make(map[string]*member),
		maxKnown:       1,
		regionSizes:    make(map[string]*fleet.SizeEstimate),
	}
	r.SetSeeds(o.Seeds)
	r.bucketSums.add(r.self)
	return r
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) {
	r.isSeed = slices.Contains(seeds, r.self.VM.PeerAddr)
	r.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool {
		return seed == r.self.VM.PeerAddr
	})
}

// SetReady sets whether this VM takes calls.
func (r *Roster) SetReady(ready bool) {
	if r.self.Ready == ready {
		return
	}
	r.updateSelf(func(self *Rumor) {
		self.Ready = ready
		self.Version++
	})
}

// SetStoreUnreadable sets whether this VM fails to read the store.
func (r *Roster) SetStoreUnreadable(away bool) {
	if r.self.StoreUnreadable == away {
		return
	}
	r.updateSelf(func(self *Rumor) {
		self.StoreUnreadable = away
		self.Version++
	})
}

// SetSaturated sets whether this VM refuses calls for lack of CPU.
func (r *Roster) SetSaturated(saturated bool) {
	if r.self.VM.Saturated == saturated {
		return
	}
	r.updateSelf(func(self *Rumor) {
		self.VM.Saturated = saturated
		self.Version++
	})
}

// Leave marks this VM as stopping, permanently.
func (r *Roster) Leave() {
	r.updateSelf(func(self *Rumor) {
		self.State = StateLeft
		self.Ready = false
		self.Version++
	})
}

// Target is a VM to exchange rumors with.
type Target struct {
	// VM has no ID if only a seed's address is known.
	VM fleet.VM
}

// Step advances the state to now and returns the targets that are due.
func (r *Roster) Step(now time.Time) []Target {
	r.detectPause(now)
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.expireMembers(now)
	r.observeSizes(now)
	var due []Target
	for _, m := range r.sorted {
		if m.doubtful() && !now.Before(m.nextExchangeAt) {
			m.nextExchangeAt = now.Add(r.gossipInterval / doubtfulIntervalDivisor)
			due = append(due, r.target(m))
		}
	}
	if now.Before(r.nextRoundAt) {
		return due
	}
	r.nextRoundAt = now.Add(r.nextInterval())
	r.round++
	due = append(due, r.localTargets()...)
	due = append(due, r.remoteTargets()...)
	if r.round%deadExchangeIntervals == 0 {
		due = append(due, r.deadTargets()...)
	}
	return append(due, r.seedTargets()...)
}

// nextInterval returns the time until the next round. It is shorter after a start,
// until a member of each region is known: after a full outage the first exchanges go to
// VMs that are still down and only time out.
func (r *Roster) nextInterval() time.Duration {
	if r.starting() {
		return r.gossipInterval / startIntervalDivisor
	}
	return r.gossipInterval
}

// fleetSeenTimeout is how long after its start a VM waits for regions and seeds that it has
// not heard of. Later they count as gone.
const fleetSeenTimeout = time.Minute

// fleetSize returns Snapshot.FleetSize. Of two parts of a split fleet only one can have all
// seeds, so VMs that start in the other part don't divide limits by its size.
func (r *Roster) fleetSize() int {
	if !r.fleetSeen {
		timedOut := !r.startedAt.IsZero() && r.advancedAt.Sub(r.startedAt) >= fleetSeenTimeout
		r.fleetSeen = timedOut || r.knowsRegionsAndSeeds()
	}
	if !r.fleetSeen {
		return 0
	}
	return r.maxKnown
}

func (r *Roster) knowsRegionsAndSeeds() bool {
	regions := map[string]bool{
		r.self.VM.Region: true,
	}
	addrs := make(map[string]bool)
	for _, m := range r.sorted {
		regions[m.VM.Region] = true
		addrs[m.VM.PeerAddr] = true
	}
	unknownRegion := func(region string) bool { return !regions[region] }
	unknownSeed := func(seed string) bool { return !addrs[seed] }
	return !slices.ContainsFunc(r.regions, unknownRegion) && !slices.ContainsFunc(r.seeds, unknownSeed)
}

// starting reports whether this VM has just started and still lacks members of some
// region.
func (r *Roster) starting() bool {
	if r.round >= maxStartRounds {
		return false
	}
	found := map[string]bool{
		r.self.VM.Region: true,
	}
	for _, m := range r.sorted {
		if m.State < StateDead {
			found[m.VM.Region] = true
		}
	}
	return slices.ContainsFunc(r.regions, func(region string) bool { return !found[region] })
}

// Next returns when Step must be called again.
func (r *Roster) Next(now time.Time) time.Time {
	next := r.nextRoundAt
	for _, m := range r.sorted {
		if m.doubtful() && m.nextExchangeAt.Before(next) {
			next = m.nextExchangeAt
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// doubtful reports whether the member is suspected or has missed an exchange. It is
// then contacted more often until it answers or is considered dead.
func (m *member) doubtful() bool {
	return m.State == StateSuspect || (m.State == StateAlive && m.misses > 0)
}

// detectPause restarts suspicions after a pause of the process, during which this VM
// itself missed the others' answers.
func (r *Roster) detectPause(now time.Time) {
	pause := now.Sub(r.advancedAt)
	if now.Sub(r.resumedAt) >= maxResumeIntervals*r.gossipInterval {
		r.resuming = false
	}
	if !r.advancedAt.IsZero() && pause > r.maxStepGap() {
		r.resumedAt = now
		r.resuming = true
		r.memberIndexStale = true
		for _, m := range r.sorted {
			m.misses = 0
			if m.State == StateSuspect {
				m.suspectAt = now
			}
		}
	}
	r.advancedAt = now
}

// maxStepGap is the longest time between Steps that isn't treated as a pause.
func (r *Roster) maxStepGap() time.Duration {
	return suspectIntervals * r.gossipInterval
}

// Resuming reports whether the process has paused and the endpoints haven't been probed
// since.
func (r *Roster) Resuming() bool {
	return r.resuming
}

// RecordProbe records that the endpoints were probed at askedAt. A probe after a pause ends
// it.
func (r *Roster) RecordProbe(askedAt time.Time) {
	if !askedAt.Before(r.resumedAt) {
		r.resuming = false
	}
}

// expireMembers marks members dead whose suspicion has lasted too long, and removes
// those that have been dead for long.
func (r *Roster) expireMembers(now time.Time) {
	r.sorted = slices.DeleteFunc(r.sorted, func(m *member) bool {
		switch {
		case m.State == StateSuspect && !now.Before(m.suspectAt.Add(suspectIntervals*r.gossipInterval)):
			m.deadAt = now
			r.setState(m, StateDead, now)
		case m.State >= StateDead && !now.Before(m.deadAt.Add(deadRetentionIntervals*r.gossipInterval)):
			r.bucketSums.remove(m.Rumor)
			delete(r.members, m.VM.ID)
			return true
		}
		return false
	})
}

// addMember adds a member with its first rumor.
func (r *Roster) addMember(rumor Rumor) *member {
	m := &member{
		Rumor: rumor,
	}
	r.members[rumor.VM.ID] = m
	at, _ := slices.BinarySearchFunc(r.sorted, rumor.VM.ID, func(m *member, id string) int { return cmp.Compare(m.VM.ID, id) })
	r.sorted = slices.Insert(r.sorted, at, m)
	r.bucketSums.add(rumor)
	return m
}

func (r *Roster) target(m *member) Target {
	return Target{
		VM: m.VM,
	}
}

// Self returns this VM's own rumor.
func (r *Roster) Self() Rumor {
	return r.self
}

// updateSelf changes the own rumor.
func (r *Roster) updateSelf(change func(self *Rumor)) {
	r.bucketSums.remove(r.self)
	change(&r.self)
	r.bucketSums.add(r.self)
	r.memberIndexStale = true
}

// updateMember replaces a member's rumor. It updates the sums incrementally, since
// recomputing them for each rumor of a message would take quadratic time.
func (r *Roster) updateMember(m *member, rumor Rumor, now time.Time) {
	r.bucketSums.remove(m.Rumor)
	m.Rumor = rumor
	m.updatedAt = now
	r.bucketSums.add(rumor)
	r.memberIndexStale = true
}

// setState changes a member's state after this VM's own observation.
func (r *Roster) setState(m *member, state State, now time.Time) {
	rumor := m.Rumor
	rumor.State = state
	r.updateMember(m, rumor, now)
}

// hash returns a hash that can be summed in any order of members.
func (r Rumor) hash() uint64 {
	h := xxhash.Sum64String(r.VM.ID)
	for _, part := range []uint64{r.Incarnation, uint64(r.Version), uint64(r.State)} {
		h = (h ^ part) * 0x9e3779b97f4a7c15
		h ^= h >> 29
	}
	return h
}
