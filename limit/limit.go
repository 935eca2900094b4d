// Package limit admits work within the contracts' limits: requests, tokens,
// spend, calls in flight and tokens served by other regions. The owner of a
// workspace admits from token buckets that fill at the contract's rate times
// its share; other entry VMs admit from leases that the owner granted them.
//
// It is traffic state: the methods of a Ledger may be called from any
// goroutine, and the path that admits does not allocate.
package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Policies of a Ledger. PolicyShare is the decision; the others are baselines
// to measure it against.
const (
	// PolicyShare admits by the share that Request names.
	PolicyShare = "share"
	// PolicyStaticSplit gives each VM an equal part for good.
	PolicyStaticSplit = "static_split"
	// PolicyLocalBucket gives each VM the whole limit.
	PolicyLocalBucket = "local_bucket"
)

const (
	// LeaseTerm is how long a granted lease may be used.
	LeaseTerm = time.Second
	shardBits = 6
	shards    = 1 << shardBits
	// idleBeforeSweep is the time after which an unused account is as good as
	// a new one, because it has filled up.
	idleBeforeSweep = 2 * time.Minute
)

// Amounts are parts of a contract's limits: requests, tokens, spend in
// millionths of the currency, calls in flight, and tokens served by other regions.
type Amounts struct {
	Requests    float64
	Tokens      float64
	Spend       float64
	Concurrency int
	Borrowed    float64
}

// Options set up a Ledger.
type Options struct {
	// Policy is one of the policies; empty means PolicyShare.
	Policy string
}

// Request asks for a part of a workspace's limits.
type Request struct {
	Workspace string
	Terms     contract.RegionTerms
	// Share is the part, from 0 to 1, of Terms that this VM may use now.
	Share float64
	// Since, Base and BaseSince are the past of Share, as membership.Holding
	// gives it. Without them an account starts empty, and a share counts only
	// from the first request that names it.
	Since     time.Time
	Base      float64
	BaseSince time.Time
	// VMs is the number of listed VMs of the region.
	VMs int
	// Owner says that this VM owns the workspace by its own view.
	Owner bool
	// Burst is what the buckets hold at full share. Where it is zero, a bucket holds
	// what its rate brings in one second, or that of spend in one minute.
	Burst Amounts
	// Opening is the part of them, from 0 to 1, that a new account holds.
	Opening float64
	// From is the VM that a lease is granted to; only Grant reads it.
	From string
	// Cost is what the call is estimated to use.
	Cost Amounts
}

// Reservation is what a call was charged. It must be given back to Settle or to
// Cancel exactly once.
type Reservation struct {
	Charged Amounts
	// Leased says that the charge went to a lease of the owner.
	Leased  bool
	account *account
	shard   *shard
}

// Ledger holds the accounts of all workspaces that this VM admits work for.
type Ledger struct {
	policy string
	shards [shards]shard
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// New makes an empty Ledger.
func New(o Options) *Ledger {
	l := &Ledger{
		policy: o.Policy,
	}
	if l.policy == "" {
		l.policy = PolicyShare
	}
	for i := range l.shards {
		l.shards[i].accounts = make(map[string]*account)
	}
	return l
}

func (l *Ledger) shard(workspace string) *shard {
	return &l.shards[xxhash.Sum64String(workspace)>>(64-shardBits)]
}

// account returns the workspace's account, made if needed. The shard is locked.
func (s *shard) account(workspace string) *account {
	a := s.accounts[workspace]
	if a == nil {
		a = &account{}
		s.accounts[workspace] = a
	}
	return a
}

// apply sets the request's share as the ledger's policy sees it.
func (l *Ledger) apply(r *Request) {
	switch l.policy {
	case PolicyStaticSplit:
		r.Share = 1 / float64(max(r.VMs, 1))
	case PolicyLocalBucket:
		r.Share = 1
	default:
		return
	}
	// A fixed share was always held.
	r.Base = r.Share
	r.Since = time.Unix(0, 0)
	r.BaseSince = r.Since
}

// begin returns the request's account, filled up to now. Its shard is locked, and the
// one who asked unlocks it.
func (l *Ledger) begin(r *Request, now time.Time) (*shard, *account) {
	l.apply(r)
	s := l.shard(r.Workspace)
	s.mu.Lock()
	a := s.account(r.Workspace)
	a.refill(r, now)
	return s, a
}

// Take charges the whole cost or nothing. It admits from the share of this VM,
// or else from its lease. A refusal names the limit that is free last, with the
// time at which the same cost will be admitted if nothing else is. LimitNoShare
// means that this VM holds neither share nor lease: the owner is the one to ask.
func (l *Ledger) Take(r Request, now time.Time) (Reservation, *result.Refusal) {
	s, a := l.begin(&r, now)
	defer s.mu.Unlock()
	if !r.Owner && l.policy == PolicyShare {
		a.lease().demand(&r.Cost)
	}
	short := a.shortage(&r, now)
	if !short.none() && a.takeLeased(&r.Cost, now) {
		return Reservation{
			Charged: r.Cost,
			Leased:  true,
			account: a,
			shard:   s,
		}, nil
	}
	if !short.none() {
		return Reservation{}, short.refusal()
	}
	a.charge(&r.Cost)
	return Reservation{
		Charged: r.Cost,
		account: a,
		shard:   s,
	}, nil
}

// Settle replaces the estimate that was charged by what the call used, and ends
// its place among the calls in flight. A call that used more than its estimate
// may leave a debt, which is paid off before more is admitted.
func (l *Ledger) Settle(r Reservation, used Amounts, now time.Time) {
	if r.account == nil {
		return
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.account.giveBack(&r, used, now)
}

// Cancel gives everything back, for a call that was certainly not run.
func (l *Ledger) Cancel(r Reservation, now time.Time) {
	l.Settle(r, Amounts{}, now)
}

// Charge takes a cost that was admitted elsewhere, whatever the buckets hold; a
// negative cost is given back. It returns how full the buckets then are that the cost
// draws on, at most 1 and negative for a debt.
func (l *Ledger) Charge(r Request, now time.Time) (filled float64) {
	s, a := l.begin(&r, now)
	defer s.mu.Unlock()
	a.charge(&r.Cost)
	return a.filled(&r)
}

// Sweep forgets accounts that were not used for so long that a new one would
// hold the same, and gives the number of those left.
func (l *Ledger) Sweep(now time.Time) int {
	left := 0
	for i := range l.shards {
		left += l.shards[i].sweep(now)
	}
	return left
}

func (s *shard) sweep(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace, a := range s.accounts {
		if a.idle(now) {
			delete(s.accounts, workspace)
		}
	}
	return len(s.accounts)
}
