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

// offerGoodFor is how long an offer to other regions holds after its heartbeat.
const offerGoodFor = 5 * time.Second

// surplus is what this VM offers to other regions for all targets.
func (p *pools) surplus(now time.Time) []membership.Surplus {
	var out []membership.Surplus
	for target, pool := range p.table.Load().byTarget {
		o := borrow.Surplus(p.borrowState(pool, now), now)
		if o.TokensPerSecond <= 0 && !p.always() {
			continue
		}
		out = append(out, membership.Surplus{
			Target:          target,
			TokensPerSecond: o.TokensPerSecond,
			Wait:            o.Wait,
			Until:           o.Until,
		})
	}
	return out
}

func (p *pools) borrowState(pool *targetPool, now time.Time) borrow.State {
	supply := pool.Endpoints.Supply(now)
	wait, _ := pool.Endpoints.Estimate(routing.Request{}, now)
	vms := p.node.view().VMs
	return borrow.State{
		Region:           p.node.settings.Region,
		VM:               p.node.settings.VM,
		Target:           pool.target,
		Slots:            supply.Slots,
		Free:             supply.Free,
		TokensPerSecond:  supply.SlotTokensPerSecond,
		PrefillPerSecond: supply.PrefillPerSecond,
		Demand:           pool.demand.own(vms, now),
		Waiting:          pool.waiting(),
		Wait:             wait,
		VMs:              vms,
		Until:            now.Add(offerGoodFor),
	}
}

// always reports whether strangers are taken and sent whatever is free.
func (p *pools) always() bool {
	return p.node.settings.Policies.Borrowing == borrow.PolicyAlways
}

// accept lets a call of another region use this region's surplus, or refuses
// it. The function that it gives must be called once the call has ended.
func (p *pools) accept(c *call.Call) (func(), *result.Refusal) {
	now := p.node.now()
	pool, ok := p.table.Load().byTarget[c.Target()]
	tokens := float64(c.PromptTokens + c.MaxTokens)
	if !ok || (!p.always() && !pool.gate.Accept(p.borrowState(pool, now), tokens, now)) {
		return nil, result.Refuse(result.NoSurplus, "region %s has no surplus of %s", p.node.settings.Region, c.Target())
	}
	pool.demand.lend(1)
	return func() { pool.demand.lend(-1) }, nil
}

// borrow chooses a VM of another region with surplus for a call that this
// region has just refused.
func (p *pools) borrow(c *call.Call, terms serving.Terms) (fleet.VM, bool) {
	now := p.node.now()
	view := p.node.view()
	offer, ok := borrow.Decide(p.borrowRequest(c, terms, now), p.offers(c, view, now), now)
	if !ok {
		return fleet.VM{}, false
	}
	return findVM(view, offer.VM)
}

func (p *pools) borrowRequest(c *call.Call, terms serving.Terms, now time.Time) borrow.Request {
	r := borrow.Request{
		Policy:       p.node.settings.Policies.Borrowing,
		Target:       c.Target(),
		Regions:      otherRegions(terms, p.node.settings.Region),
		Allowed:      terms.Region.BorrowShare > 0,
		FirstBy:      c.FirstBy,
		WholeBy:      c.WholeBy,
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		Unavailable:  true,
		Damper:       p.damper,
		Draw:         rand.Uint64(),
	}
	pool, ok := p.table.Load().byTarget[c.Target()]
	if !ok {
		return r
	}
	supply := pool.Endpoints.Supply(now)
	r.First = supply.First
	r.LocalWait, r.Service = pool.Endpoints.Estimate(routing.Request{
		PrefixHash:   c.PrefixHash,
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		Priority:     c.Priority,
	}, now)
	return r
}

func otherRegions(terms serving.Terms, self string) []string {
	if terms.Contract.Bound {
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

func (p *pools) offers(c *call.Call, view *membership.View, now time.Time) []borrow.Offer {
	var out []borrow.Offer
	for _, s := range view.Surplus(c.Target(), now) {
		out = append(out, borrow.Offer{
			Region:          s.Region,
			VM:              s.VM,
			Target:          s.Target,
			TokensPerSecond: s.TokensPerSecond,
			Wait:            s.Wait,
			Until:           s.Until,
			OneWay:          p.node.oneWay(s.Region),
		})
	}
	return out
}

// oneWay is the published delay to a region, zero where none is published.
func (n *Node) oneWay(to string) time.Duration {
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

// learnAway tells the damper what became of a call sent away.
func (p *pools) learnAway(vm fleet.VM, c *call.Call, o call.Outcome) {
	now := p.node.now()
	offer := borrow.Offer{
		Region: vm.Region,
		VM:     vm.ID,
		Target: c.Target(),
	}
	if o.Code.Class() == result.ClassDone {
		p.damper.Served(offer, now)
		return
	}
	p.damper.Refused(offer, now)
}
