package limit

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// grantPart is the part of what the owner holds that one lease may take,
	// so that the owner's own callers are not starved.
	grantPart = 0.5
	// renewPart is the part of a lease's term, or of its amounts, left at which
	// it is renewed.
	renewPart = 0.5
	// keepPart is the part of the wanted amounts that is not given back while
	// a renewal is on its way.
	keepPart = 0.25
	// coldPart is the part of the contract's limits that a VM asks for at least
	// when it holds no lease, since it has seen only the first call of a burst.
	coldPart = 0.5
	// askEvery is the least time between two requests to the owner.
	askEvery = LeaseTerm / 8
	// marginPart is the part of a lease's term for which the owner keeps calls
	// in flight reserved after its end, because clocks may run at different rates.
	marginPart = 50
)

// leases are the leases that this VM was granted by the owner, and those that
// it granted as owner.
type leases struct {
	// lots are the latest lease and the one before it, which ends earlier.
	lots [2]lot
	// debt is what calls used beyond their leases; the next lease pays it.
	debt     levels
	slotsMax int
	inFlight int
	// wanted counts the cost asked of this VM since askedAt; refused says that
	// some of it was not admitted.
	wanted    levels
	wantSlots int
	refused   bool
	askedAt   time.Time
	// granted is what each other VM holds.
	granted map[string]*granted
}

// lot is what is left of one lease.
type lot struct {
	level levels
	until time.Time
}

// granted is what one VM was granted and has not given back.
type granted struct {
	level levels
	slots int
	until time.Time
}

// lease returns the account's leases, made if needed.
func (a *account) lease() *leases {
	if a.leases == nil {
		a.leases = &leases{
			granted: make(map[string]*granted),
		}
	}
	return a.leases
}

// slots returns the calls in flight that other VMs may have now.
func (l *leases) slots(now time.Time) int {
	if l == nil {
		return 0
	}
	sum := 0
	for _, g := range l.granted {
		if now.Before(g.until) {
			sum += g.slots
		}
	}
	return sum
}

// demand notes a cost asked of a VM that uses leases.
func (l *leases) demand(cost *Amounts) {
	for d, c := range levelsOf(cost) {
		l.wanted[d] += c
	}
	l.wantSlots = max(l.wantSlots, l.inFlight+cost.Concurrency)
}

// takeLeased charges the lease if it holds the whole cost.
func (a *account) takeLeased(cost *Amounts, now time.Time) bool {
	l := a.leases
	if l == nil {
		return false
	}
	l.refused = true
	l.expire(now)
	if !now.Before(l.until()) || l.inFlight+cost.Concurrency > l.slotsMax {
		return false
	}
	want := levelsOf(cost)
	for d, c := range want {
		if c > 0 && l.left(dimension(d)) < c*(1-rounding) {
			return false
		}
	}
	for d, c := range want {
		older := min(c, l.lots[1].level[d])
		l.lots[1].level[d] -= older
		l.lots[0].level[d] -= c - older
	}
	l.inFlight += cost.Concurrency
	l.refused = false
	return true
}

// until is the end of the latest lease.
func (l *leases) until() time.Time {
	return l.lots[0].until
}

func (l *leases) left(d dimension) float64 {
	return l.lots[0].level[d] + l.lots[1].level[d]
}

// expire drops what ended leases have left.
func (l *leases) expire(now time.Time) {
	for i := range l.lots {
		if !now.Before(l.lots[i].until) {
			l.lots[i].level = levels{}
		}
	}
}

// giveBack returns the difference between a charge and its use to the lease.
// What an ended lease has left is lost; what was used beyond it is not.
func (l *leases) giveBack(charged, spent levels, concurrency int, now time.Time) {
	l.inFlight -= concurrency
	live := now.Before(l.until())
	for d := range charged {
		left := charged[d] - spent[d]
		switch {
		case left < 0:
			l.debt[d] -= left
		case live:
			l.lots[0].level[d] += left
		}
	}
}

// Want says what a VM that is not the owner should ask of the owner now: the
// amounts wanted for a lease term, and the unused ones that it gives back. What
// is given back is gone from this VM, whether or not the message arrives, so it
// can't be used twice. ask is false when there is nothing to ask.
func (l *Ledger) Want(workspace string, terms contract.RegionTerms, now time.Time) (want, unused Amounts, ask bool) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(workspace)
	return a.lease().want(rates(&terms), terms.Concurrency, now)
}

func (l *leases) want(rate levels, concurrency int, now time.Time) (want, unused Amounts, ask bool) {
	if now.Sub(l.askedAt) < askEvery || !l.due(now) {
		return Amounts{}, Amounts{}, false
	}
	wanted := l.forecast(rate, now)
	back := l.surrender(wanted, now)
	want = wanted.amounts()
	want.Concurrency = min(l.forecastSlots(concurrency, now), concurrency)
	l.wanted = levels{}
	l.wantSlots = l.inFlight
	l.refused = false
	l.askedAt = now
	return want, back.amounts(), true
}

// due reports whether the lease is to be renewed or given back.
func (l *leases) due(now time.Time) bool {
	if l.refused {
		return true
	}
	idle := l.wanted == levels{} && l.inFlight == 0
	if !now.Before(l.until()) {
		return !idle
	}
	if l.until().Sub(now) < time.Duration(renewPart*float64(LeaseTerm)) {
		return !idle || l.slotsMax > 0 || l.lots[0].level != levels{} || l.lots[1].level != levels{}
	}
	for d, wanted := range l.wanted {
		if wanted > 0 && l.left(dimension(d)) < renewPart*wanted {
			return true
		}
	}
	return false
}

// forecast returns the amounts for a lease term at the rate asked since the last
// time, and at most the contract's.
func (l *leases) forecast(rate levels, now time.Time) levels {
	elapsed := min(max(now.Sub(l.askedAt), askEvery), LeaseTerm)
	scale := LeaseTerm.Seconds() / elapsed.Seconds()
	var wanted levels
	for d := range wanted {
		most := rate[d] * windows[d]
		wanted[d] = min(l.wanted[d]*scale, most)
		if l.cold(now) && l.wanted[d] > 0 {
			wanted[d] = max(wanted[d], coldPart*most)
		}
	}
	return wanted
}

// forecastSlots returns the calls in flight for a lease term. A refused call
// does not say how many more there were, so the number is doubled.
func (l *leases) forecastSlots(concurrency int, now time.Time) int {
	slots := max(l.wantSlots, l.inFlight)
	if l.cold(now) && l.wantSlots > 0 {
		return max(slots, int(coldPart*float64(concurrency)))
	}
	if l.refused {
		return max(slots, 2*l.slotsMax)
	}
	return slots
}

// cold reports whether no lease is held.
func (l *leases) cold(now time.Time) bool {
	return !now.Before(l.until())
}

// surrender takes out of the lease what is left of the earlier one, which the
// renewal is to replace, and what the latest holds above the part kept for calls
// that arrive while the renewal is on its way. An idle VM gives its calls in
// flight back too.
func (l *leases) surrender(wanted levels, now time.Time) levels {
	l.expire(now)
	back := l.lots[1].level
	l.lots[1].level = levels{}
	for d := range back {
		spare := max(l.lots[0].level[d]-keepPart*wanted[d], 0)
		l.lots[0].level[d] -= spare
		back[d] += spare
	}
	if l.wanted == (levels{}) && l.inFlight == 0 {
		l.slotsMax = 0
	}
	return back
}

// AddLease takes what the owner granted. It may be used until the deadline,
// which counts from when the request was sent.
func (l *Ledger) AddLease(workspace string, granted Amounts, until time.Time) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(workspace).lease().add(levelsOf(&granted), granted.Concurrency, until)
}

func (l *leases) add(given levels, concurrency int, until time.Time) {
	l.lots[1] = l.lots[0]
	for d := range given {
		paid := min(l.debt[d], given[d])
		l.debt[d] -= paid
		given[d] -= paid
	}
	l.lots[0] = lot{
		level: given,
		until: until,
	}
	l.slotsMax = concurrency
}

// Grant takes a lease for another VM out of this owner's own buckets, after
// what it gives back has been put in. It grants at most a part of what the
// buckets hold. Calls in flight are granted as a number that replaces the earlier one.
func (l *Ledger) Grant(r Request, want, unused Amounts, now time.Time) (Amounts, *result.Refusal) {
	s, a := l.begin(&r, now)
	defer s.mu.Unlock()
	a.takeBack(r.From, unused, now)
	if r.Share <= 0 {
		short := a.shortage(&r, now)
		return Amounts{}, short.refusal()
	}
	return a.grant(&r, want, now), nil
}

// takeBack credits what a VM gives back, at most what it was granted.
func (a *account) takeBack(from string, unused Amounts, now time.Time) {
	g := a.lease().granted[from]
	if g == nil {
		return
	}
	back := levelsOf(&unused)
	for d := range back {
		credit := min(max(back[d], 0), g.level[d])
		a.level[d] = min(a.level[d]+credit, max(a.level[d], a.capacity[d]*a.share))
		g.level[d] -= credit
	}
	if !now.Before(g.until) {
		*g = granted{}
	}
}

func (a *account) grant(r *Request, want Amounts, now time.Time) Amounts {
	l := a.lease()
	g := l.granted[r.From]
	if g == nil {
		g = &granted{}
		l.granted[r.From] = g
	}
	g.slots = 0
	free := slots(r.Terms.Concurrency, r.Share) - a.inFlight - l.slots(now)
	wanted := levelsOf(&want)
	var given levels
	for d := range given {
		given[d] = min(max(wanted[d], 0), max(a.level[d], 0)*grantPart)
		a.level[d] -= given[d]
		g.level[d] += given[d]
	}
	g.until = now.Add(LeaseTerm + LeaseTerm/marginPart)
	g.slots = max(min(want.Concurrency, grantSlots(free)), 0)
	out := given.amounts()
	out.Concurrency = g.slots
	return out
}

// grantSlots returns the calls in flight that one lease may take of the free ones.
func grantSlots(free int) int {
	return int(math.Ceil(grantPart * float64(free)))
}

// idle reports whether nothing is leased in or out, in use or owed.
func (l *leases) idle(now time.Time) bool {
	if l == nil {
		return true
	}
	for _, g := range l.granted {
		if now.Before(g.until) {
			return false
		}
	}
	return l.inFlight == 0 && !now.Before(l.until()) && l.debt == levels{}
}
