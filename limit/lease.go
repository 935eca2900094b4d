package limit

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// grantFraction is the fraction of the owner's remaining tokens that one lease may
	// take, so that calls arriving at the owner are not starved.
	grantFraction = 0.5
	// renewFraction is the fraction of a lease's term, or of the demanded amounts, below
	// which a lease is renewed.
	renewFraction = 0.5
	// renewalReserve is the fraction of the demanded amounts kept for calls that arrive
	// while a renewal is in progress.
	renewalReserve = 0.25
	// firstLeaseFraction is the minimum fraction of the contract's limits to request
	// without an active lease, when only the first call of a burst has been seen.
	firstLeaseFraction = 0.5
	// minRequestInterval is the minimum time between two lease requests.
	minRequestInterval = LeaseTerm / 8
	// clockDriftDivisor is the divisor of the lease term that gives how much longer the
	// owner keeps granted slots reserved, to allow for clock drift.
	clockDriftDivisor = 50
)

// leases holds the leases that this VM received from the owner, and those that it granted
// as owner.
type leases struct {
	// held contains the latest lease and the previous one, which expires first.
	held [2]lease
	// debt is usage beyond the charged amounts, deducted from the next lease.
	debt        vector
	maxInFlight int
	inFlight    int
	// demand is the total cost requested since requestedAt, and refused is set if part of
	// it was not admitted.
	demand       vector
	peakInFlight int
	refused      bool
	requestedAt  time.Time
	// outgoing holds the lease granted to each other VM.
	outgoing map[string]*outgoingLease
}

// lease is the unused remainder of a received lease.
type lease struct {
	level vector
	until time.Time
}

// outgoingLease is what another VM was granted and has not returned.
type outgoingLease struct {
	level vector
	slots int
	until time.Time
}

// leaseState returns the account's leases, creating them if needed.
func (a *account) leaseState() *leases {
	if a.leases == nil {
		a.leases = &leases{
			outgoing: make(map[string]*outgoingLease),
		}
	}
	return a.leases
}

// grantedSlots returns the number of calls in flight reserved for other VMs.
func (l *leases) grantedSlots(now time.Time) int {
	if l == nil {
		return 0
	}
	sum := 0
	for _, g := range l.outgoing {
		if now.Before(g.until) {
			sum += g.slots
		}
	}
	return sum
}

// recordDemand adds a requested cost to the demand that the next lease request covers.
func (l *leases) recordDemand(cost *Amounts) {
	for d, c := range vectorOf(cost) {
		l.demand[d] += c
	}
	l.peakInFlight = max(l.peakInFlight, l.inFlight+cost.Concurrency)
}

// takeFromLease charges the lease if it covers the whole cost.
func (a *account) takeFromLease(cost *Amounts, now time.Time) bool {
	l := a.leases
	if l == nil {
		return false
	}
	l.refused = true
	l.clearExpired(now)
	if !now.Before(l.expiry()) || l.inFlight+cost.Concurrency > l.maxInFlight {
		return false
	}
	want := vectorOf(cost)
	for d, c := range want {
		if c > 0 && l.remaining(dimension(d)) < c*(1-epsilon) {
			return false
		}
	}
	for d, c := range want {
		older := min(c, l.held[1].level[d])
		l.held[1].level[d] -= older
		l.held[0].level[d] -= c - older
	}
	l.inFlight += cost.Concurrency
	l.refused = false
	return true
}

// expiry returns the expiry time of the latest lease.
func (l *leases) expiry() time.Time {
	return l.held[0].until
}

func (l *leases) remaining(d dimension) float64 {
	return l.held[0].level[d] + l.held[1].level[d]
}

// clearExpired discards the remainder of expired leases.
func (l *leases) clearExpired(now time.Time) {
	for i := range l.held {
		if !now.Before(l.held[i].until) {
			l.held[i].level = vector{}
		}
	}
}

// settle refunds unused amounts to the active lease. After expiry a refund is dropped, but
// usage beyond the charge is still recorded as debt.
func (l *leases) settle(charged, spent vector, concurrency int, now time.Time) {
	l.inFlight -= concurrency
	active := now.Before(l.expiry())
	for d := range charged {
		unused := charged[d] - spent[d]
		switch {
		case unused < 0:
			l.debt[d] -= unused
		case active:
			l.held[0].level[d] += unused
		}
	}
}

// LeaseRequest returns the lease request to send to the owner: the amounts wanted for one lease
// term, and the unused amounts returned. Returned amounts are deducted at once, even if
// the message is lost, so that they cannot be spent twice. ask is false when no request is
// due.
func (l *Ledger) LeaseRequest(workspace string, terms contract.RegionLimits, now time.Time) (want, unused Amounts, ask bool) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(workspace)
	return a.leaseState().nextRequest(refillRates(&terms), terms.Concurrency, now)
}

func (l *leases) nextRequest(rate vector, concurrency int, now time.Time) (want, unused Amounts, ask bool) {
	if now.Sub(l.requestedAt) < minRequestInterval || !l.renewalDue(now) {
		return Amounts{}, Amounts{}, false
	}
	wanted := l.forecastDemand(rate, now)
	returned := l.releaseUnused(wanted, now)
	want = wanted.amounts()
	want.Concurrency = min(l.forecastSlots(concurrency, now), concurrency)
	l.demand = vector{}
	l.peakInFlight = l.inFlight
	l.refused = false
	l.requestedAt = now
	return want, returned.amounts(), true
}

// renewalDue reports whether the lease should be renewed or returned.
func (l *leases) renewalDue(now time.Time) bool {
	if l.refused {
		return true
	}
	idle := l.demand == vector{} && l.inFlight == 0
	if !now.Before(l.expiry()) {
		return !idle
	}
	if l.expiry().Sub(now) < time.Duration(renewFraction*float64(LeaseTerm)) {
		return !idle || l.maxInFlight > 0 || l.held[0].level != vector{} || l.held[1].level != vector{}
	}
	for d, wanted := range l.demand {
		if wanted > 0 && l.remaining(dimension(d)) < renewFraction*wanted {
			return true
		}
	}
	return false
}

// forecastDemand extrapolates the recent demand to one lease term, up to the contract's
// limits.
func (l *leases) forecastDemand(rate vector, now time.Time) vector {
	elapsed := min(max(now.Sub(l.requestedAt), minRequestInterval), LeaseTerm)
	scale := LeaseTerm.Seconds() / elapsed.Seconds()
	var wanted vector
	for d := range wanted {
		limit := rate[d] * burstSeconds[d]
		wanted[d] = min(l.demand[d]*scale, limit)
		if l.expired(now) && l.demand[d] > 0 {
			wanted[d] = max(wanted[d], firstLeaseFraction*limit)
		}
	}
	return wanted
}

// forecastSlots returns the calls in flight to request. A refused call does not reveal how
// many more are waiting, so the current limit is doubled.
func (l *leases) forecastSlots(concurrency int, now time.Time) int {
	slots := max(l.peakInFlight, l.inFlight)
	if l.expired(now) && l.peakInFlight > 0 {
		return max(slots, int(firstLeaseFraction*float64(concurrency)))
	}
	if l.refused {
		return max(slots, 2*l.maxInFlight)
	}
	return slots
}

// expired reports whether there is no active lease.
func (l *leases) expired(now time.Time) bool {
	return !now.Before(l.expiry())
}

// releaseUnused removes the amounts to return to the owner: the remainder of the previous
// lease, and what the latest one holds beyond renewalReserve. An idle VM also returns its
// slots.
func (l *leases) releaseUnused(wanted vector, now time.Time) vector {
	l.clearExpired(now)
	returned := l.held[1].level
	l.held[1].level = vector{}
	for d := range returned {
		excess := max(l.held[0].level[d]-renewalReserve*wanted[d], 0)
		l.held[0].level[d] -= excess
		returned[d] += excess
	}
	if l.demand == (vector{}) && l.inFlight == 0 {
		l.maxInFlight = 0
	}
	return returned
}

// AddLease stores a lease granted by the owner. The expiry time counts from when the
// request was sent.
func (l *Ledger) AddLease(workspace string, granted Amounts, until time.Time) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(workspace).leaseState().add(vectorOf(&granted), granted.Concurrency, until)
}

func (l *leases) add(given vector, concurrency int, until time.Time) {
	l.held[1] = l.held[0]
	for d := range given {
		paid := min(l.debt[d], given[d])
		l.debt[d] -= paid
		given[d] -= paid
	}
	l.held[0] = lease{
		level: given,
		until: until,
	}
	l.maxInFlight = concurrency
}

// Grant credits the returned amounts to the owner's buckets and takes a lease for another
// VM from them, up to grantFraction of their content. The granted slots replace those of
// the VM's previous lease.
func (l *Ledger) Grant(r Request, want, unused Amounts, now time.Time) (Amounts, *result.Refusal) {
	s, a := l.lockAndRefill(&r, now)
	defer s.mu.Unlock()
	a.creditReturned(r.Borrower, unused, now)
	if r.Share <= 0 {
		short := a.shortage(&r, now)
		return Amounts{}, short.refusal()
	}
	return a.grant(&r, want, now), nil
}

// creditReturned credits the amounts that a VM returns, up to what it was granted.
func (a *account) creditReturned(from string, unused Amounts, now time.Time) {
	g := a.leaseState().outgoing[from]
	if g == nil {
		return
	}
	returned := vectorOf(&unused)
	for d := range returned {
		credit := min(max(returned[d], 0), g.level[d])
		a.level[d] = min(a.level[d]+credit, max(a.level[d], a.capacity[d]*a.share))
		g.level[d] -= credit
	}
	if !now.Before(g.until) {
		*g = outgoingLease{}
	}
}

func (a *account) grant(r *Request, want Amounts, now time.Time) Amounts {
	l := a.leaseState()
	g := l.outgoing[r.Borrower]
	if g == nil {
		g = &outgoingLease{}
		l.outgoing[r.Borrower] = g
	}
	g.slots = 0
	free := concurrencyLimit(r.Terms.Concurrency, r.Share) - a.inFlight - l.grantedSlots(now)
	wanted := vectorOf(&want)
	var given vector
	for d := range given {
		given[d] = min(max(wanted[d], 0), max(a.level[d], 0)*grantFraction)
		a.level[d] -= given[d]
		g.level[d] += given[d]
	}
	g.until = now.Add(LeaseTerm + LeaseTerm/clockDriftDivisor)
	g.slots = max(min(want.Concurrency, maxGrantedSlots(free)), 0)
	out := given.amounts()
	out.Concurrency = g.slots
	return out
}

// maxGrantedSlots returns how many of the free slots one lease may take.
func maxGrantedSlots(free int) int {
	return int(math.Ceil(grantFraction * float64(free)))
}

// idle reports whether no lease is active in either direction, no leased call is in flight
// and no debt remains.
func (l *leases) idle(now time.Time) bool {
	if l == nil {
		return true
	}
	for _, g := range l.outgoing {
		if now.Before(g.until) {
			return false
		}
	}
	return l.inFlight == 0 && !now.Before(l.expiry()) && l.debt == vector{}
}
