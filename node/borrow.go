package node

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsianotch/fuchsianotch/borrow"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

// surplusOfferTTL is how long an offer of surplus to other regions stays valid after its
// heartbeat.
const surplusOfferTTL = 5 * time.Second

// surplus returns the capacity that this VM offers to other regions, by target.
func (p *pools) surplus(now time.Time) []membership.Surplus {
	var out []membership.Surplus
	for target, pool := range p.table.Load().byTarget {
		o := borrow.Surplus(p.borrowState(pool, now), now)
		if o.TokensPerSecond <= 0 && !p.alwaysBorrow() {
			continue
		}
		out = append(out, membership.Surplus{
			Target:          target,
			TokensPerSecond: o.TokensPerSecond,
			Wait:            o.Wait,
			Until:           o.ExpiresAt,
		})
	}
	return out
}

func (p *pools) borrowState(pool *targetPool, now time.Time) borrow.RegionCapacity {
	supply := pool.Endpoints.Capacity(now)
	wait, _ := pool.Endpoints.Estimate(routing.Request{}, now)
	vms := p.node.view().VMs
	return borrow.RegionCapacity{
		Region:           p.node.settings.Region,
		VM:               p.node.settings.VM,
		Target:           pool.target,
		Slots:            supply.Slots,
		Free:             supply.Free,
		TokensPerSecond:  supply.SlotThroughput,
		PrefillPerSecond: supply.PrefillRate,
		Demand:           pool.demand.localMean(vms, now),
		Waiting:          pool.queuedCalls(),
		Wait:             wait,
		VMs:              vms,
		Until:            now.Add(surplusOfferTTL),
	}
}

// alwaysBorrow reports whether the policy is to lend and borrow without regard to
// surplus.
func (p *pools) alwaysBorrow() bool {
	return p.node.settings.Policies.Borrowing == borrow.PolicyAlways
}

// acceptBorrowed admits a call of another region to this region's surplus or refuses it.
// The returned function must be called once the call has ended.
func (p *pools) acceptBorrowed(c *call.Call) (func(), *result.Refusal) {
	now := p.node.now()
	pool, ok := p.table.Load().byTarget[c.Target()]
	tokens := float64(c.PromptTokens + c.MaxTokens)
	if !ok || (!p.alwaysBorrow() && !pool.gate.Admit(p.borrowState(pool, now), tokens, now)) {
		return nil, result.Refuse(result.NoSurplus, "region %s has no surplus of %s", p.node.settings.Region, c.Target())
	}
	pool.demand.addBorrowed(1)
	return func() { pool.demand.addBorrowed(-1) }, nil
}

// chooseLender chooses a VM of another region with surplus for a call that this region
// refused.
func (p *pools) chooseLender(c *call.Call, terms serving.Terms) (fleet.VM, bool) {
	now := p.node.now()
	view := p.node.view()
	offer, ok := borrow.Decide(p.borrowRequest(c, terms, now), p.surplusOffers(c, view, now), now)
	if !ok {
		return fleet.VM{}, false
	}
	return findVM(view, offer.VM)
}

func (p *pools) borrowRequest(c *call.Call, terms serving.Terms, now time.Time) borrow.Request {
	r := borrow.Request{
		Policy:             p.node.settings.Policies.Borrowing,
		Target:             c.Target(),
		Regions:            otherRegions(terms, p.node.settings.Region),
		Allowed:            terms.Region.BorrowShare > 0,
		FirstTokenDeadline: c.FirstTokenDeadline,
		Deadline:           c.Deadline,
		PromptTokens:       c.PromptTokens,
		MaxTokens:          c.MaxTokens,
		Unavailable:        true,
		RateLimiter:        p.rateLimiter,
		Random:             rand.Uint64(),
	}
	pool, ok := p.table.Load().byTarget[c.Target()]
	if !ok {
		return r
	}
	supply := pool.Endpoints.Capacity(now)
	r.UntilFirstToken = supply.BaseTTFT
	r.LocalWait, r.Service = pool.Endpoints.Estimate(routing.Request{
		PrefixHash:   c.PrefixHash,
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		Priority:     c.Priority,
	}, now)
	return r
}

func otherRegions(terms serving.Terms, self string) []string {
	if terms.Contract.HomeOnly {
		return nil
	}
	var out []string
	for _, t := range terms.Contract.Regions {
		if t.Region != self {
			out = append(out, t.Region)
		}
	}
	return out
}

func (p *pools) surplusOffers(c *call.Call, view *membership.View, now time.Time) []borrow.Offer {
	var out []borrow.Offer
	for _, s := range view.Surplus(c.Target(), now) {
		out = append(out, borrow.Offer{
			Region:          s.Region,
			VM:              s.VM,
			Target:          s.Target,
			TokensPerSecond: s.TokensPerSecond,
			Wait:            s.Wait,
			ExpiresAt:       s.Until,
			NetworkDelay:    p.node.oneWayLatency(s.Region),
		})
	}
	return out
}

// oneWayLatency returns the published latency to a region, zero if none is published.
func (n *Node) oneWayLatency(to string) time.Duration {
	for _, region := range n.snapshot().Regions.Regions {
		if region.Region != n.settings.Region {
			continue
		}
		for _, link := range region.Links {
			if link.To == to {
				return link.OneWay.Duration
			}
		}
	}
	return 0
}

// recordBorrowOutcome tells the rate limiter whether a lender served a call.
func (p *pools) recordBorrowOutcome(vm fleet.VM, c *call.Call, o call.Outcome) {
	now := p.node.now()
	offer := borrow.Offer{
		Region: vm.Region,
		VM:     vm.ID,
		Target: c.Target(),
	}
	if o.Code.Class() == result.ClassDone {
		p.rateLimiter.Served(offer, now)
		return
	}
	p.rateLimiter.Refused(offer, now)
}
