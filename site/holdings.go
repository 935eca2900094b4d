package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// holdingNew is how recent a use must be to be told: what is older was told
	// in the exchanges before.
	holdingMaxAge = 1500 * time.Millisecond
	// farHoldingNew is the same for uses in other regions, of which only a few VMs
	// hear at first: 30 VMs pass them on to all in some three seconds.
	remoteHoldingMaxAge = 3 * time.Second
	// holdingsSent bounds the entries of one message to another region, at some 40
	// bytes each, and ownHoldingsSent those of one within the region.
	maxCrossRegionHoldings = 32
	maxRegionHoldings      = 64
)

// ownHoldings tell another VM of this region which of its engines were sent which
// shared beginnings of prompts of late, so that others can fetch from them.
func (p *pools) regionHoldings(now time.Time) []*peerpb.PrefixHolding {
	return p.holdingMessages(maxRegionHoldings, now, func(pool *pool) []routing.Holding {
		return pool.Endpoints.Holdings(routing.HoldingLeast, now.Add(-holdingMaxAge), maxRegionHoldings)
	})
}

// holdings tell the same, as far as it is worth it, to a VM of another region.
func (p *pools) crossRegionHoldings(now time.Time) []*peerpb.PrefixHolding {
	return p.holdingMessages(maxCrossRegionHoldings, now, func(pool *pool) []routing.Holding {
		return pool.Endpoints.Holdings(routing.FarHoldingLeast, now.Add(-holdingMaxAge), maxCrossRegionHoldings)
	})
}

// farHoldings tell another VM of this region the same of other regions.
func (p *pools) remoteHoldings(now time.Time) []*peerpb.PrefixHolding {
	return p.holdingMessages(maxCrossRegionHoldings, now, func(pool *pool) []routing.Holding {
		return pool.Endpoints.FarHoldings(now.Add(-remoteHoldingMaxAge), maxCrossRegionHoldings)
	})
}

func (p *pools) holdingMessages(limit int, now time.Time, list func(*pool) []routing.Holding) []*peerpb.PrefixHolding {
	var out []*peerpb.PrefixHolding
	for service, pool := range p.table.Load().byService {
		for _, h := range list(pool) {
			if len(out) == limit {
				return out
			}
			out = append(out, &peerpb.PrefixHolding{
				Prefix:   h.Hash,
				Endpoint: h.Endpoint,
				Service:  service,
				Tokens:   uint32(h.Tokens),
				AgeMs:    uint32(max(now.Sub(h.UsedAt).Milliseconds(), 0)),
			})
		}
	}
	return out
}

func (p *pools) applyHoldings(list []*peerpb.PrefixHolding, sentAt, now time.Time) {
	byService := make(map[string][]routing.Holding)
	for _, m := range list {
		byService[m.GetService()] = append(byService[m.GetService()], routing.Holding{
			Hash:     m.GetPrefix(),
			Tokens:   int(m.GetTokens()),
			Endpoint: m.GetEndpoint(),
			UsedAt:   sentAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		})
	}
	for service, holdings := range byService {
		if pool := p.table.Load().byService[service]; pool != nil {
			pool.Endpoints.Learn(holdings, now)
		}
	}
}
