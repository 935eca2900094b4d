// Package limit enforces the limits of workspace contracts: requests, tokens, spend, calls
// in flight, and tokens served by other regions. The owner of a workspace admits calls
// from token buckets that refill at the contract's rate times its share; other entry VMs
// admit calls from leases granted by the owner.
//
// A Ledger is safe for concurrent use, and admitting a call does not allocate.
package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Policies of a Ledger. PolicyShare is the default; the others are baselines for
// comparison.
const (
	// PolicyShare admits calls by the share given in Request.
	PolicyShare = "share"
	// PolicyStaticSplit gives each VM a fixed, equal part of the limit.
	PolicyStaticSplit = "static_split"
	// PolicyLocalBucket gives each VM the full limit.
	PolicyLocalBucket = "local_bucket"
)

const (
	// LeaseTerm is the lifetime of a lease.
	LeaseTerm  = time.Second
	shardBits  = 6
	shardCount = 1 << shardBits
	// idleTimeout is how long an account must be unused before it is dropped. By then its
	// buckets are full again.
	idleTimeout = 2 * time.Minute
)

// Amounts are quantities of each limit: requests, tokens, spend in millionths of the
// currency unit, calls in flight, and tokens served by other regions.
type Amounts struct {
	Requests    float64
	Tokens      float64
	Spend       float64
	Concurrency int
	Borrowed    float64
}

// Options configures a Ledger.
type Options struct {
	// Policy is one of the Policy constants; empty means PolicyShare.
	Policy string
}

// Request describes a call to charge to a workspace's limits.
type Request struct {
	Workspace string
	Terms     contract.RegionLimits
	// Share is the fraction of Terms, from 0 to 1, that this VM may currently use.
	Share float64
	// ShareSince, PreviousShare and PreviousShareSince are the history of Share, as in
	// membership.ShareHistory.
	// Without them an account starts empty, and a share counts from the first request that
	// carries it.
	ShareSince         time.Time
	PreviousShare      float64
	PreviousShareSince time.Time
	// VMs is the number of VMs listed in the region.
	VMs int
	// Owner is set if this VM owns the workspace according to its own view.
	Owner bool
	// Burst is the bucket capacity at a share of 1. A zero field means one second of the
	// rate, or one minute for Spend.
	Burst Amounts
	// InitialFill is the fill level of a new account's buckets, from 0 to 1.
	InitialFill float64
	// Borrower is the VM that requests a lease; it is only used by Grant.
	Borrower string
	// Cost is the estimated usage of the call.
	Cost Amounts
}

// Reservation is the charge for one call. It must be passed to Settle or Cancel exactly
// once.
type Reservation struct {
	Charged Amounts
	// Leased is set if a lease was charged instead of this VM's own buckets.
	Leased  bool
	account *account
	shard   *shard
}

// Ledger holds the accounts of all workspaces that this VM admits calls for.
type Ledger struct {
	policy string
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// New returns an empty Ledger.
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

// account returns the workspace's account, creating it if needed. The shard must be
// locked.
func (s *shard) account(workspace string) *account {
	a := s.accounts[workspace]
	if a == nil {
		a = &account{}
		s.accounts[workspace] = a
	}
	return a
}

// applyPolicy overrides the request's share under the baseline policies.
func (l *Ledger) applyPolicy(r *Request) {
	switch l.policy {
	case PolicyStaticSplit:
		r.Share = 1 / float64(max(r.VMs, 1))
	case PolicyLocalBucket:
		r.Share = 1
	default:
		return
	}
	// A fixed share counts as held since the epoch.
	r.PreviousShare = r.Share
	r.ShareSince = time.Unix(0, 0)
	r.PreviousShareSince = r.ShareSince
}

// lockAndRefill locks the shard of the workspace and returns it with the refilled account.
// The caller must unlock the shard.
func (l *Ledger) lockAndRefill(r *Request, now time.Time) (*shard, *account) {
	l.applyPolicy(r)
	s := l.shard(r.Workspace)
	s.mu.Lock()
	a := s.account(r.Workspace)
	a.refill(r, now)
	return s, a
}

// Take charges the full cost or nothing. It uses this VM's share, or else its lease. A
// refusal carries the limit with the latest retry time; a retry at that time succeeds if
// nothing else was admitted meanwhile. LimitNoShare means that this VM holds neither a
// share nor a lease, and that the owner must be asked.
func (l *Ledger) Take(r Request, now time.Time) (Reservation, *result.Refusal) {
	s, a := l.lockAndRefill(&r, now)
	defer s.mu.Unlock()
	if !r.Owner && l.policy == PolicyShare {
		a.leaseState().recordDemand(&r.Cost)
	}
	short := a.shortage(&r, now)
	if !short.isZero() && a.takeFromLease(&r.Cost, now) {
		return Reservation{
			Charged: r.Cost,
			Leased:  true,
			account: a,
			shard:   s,
		}, nil
	}
	if !short.isZero() {
		return Reservation{}, short.refusal()
	}
	a.charge(&r.Cost)
	return Reservation{
		Charged: r.Cost,
		account: a,
		shard:   s,
	}, nil
}

// Settle replaces the estimated cost with the actual usage and releases the call's
// concurrency slot. Usage above the estimate may leave a debt, which must be refilled
// before further calls are admitted.
func (l *Ledger) Settle(r Reservation, used Amounts, now time.Time) {
	if r.account == nil {
		return
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.account.settle(&r, used, now)
}

// Cancel refunds the whole charge of a call that is known not to have run.
func (l *Ledger) Cancel(r Reservation, now time.Time) {
	l.Settle(r, Amounts{}, now)
}

// Charge charges a cost that was already admitted elsewhere, whatever the buckets hold; a
// negative cost is a refund. It returns the lowest fill level of the charged buckets, at
// most 1 and negative for a debt.
func (l *Ledger) Charge(r Request, now time.Time) (filled float64) {
	s, a := l.lockAndRefill(&r, now)
	defer s.mu.Unlock()
	a.charge(&r.Cost)
	return a.fillRatio(&r)
}

// Sweep drops idle accounts and returns the number of remaining ones.
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
