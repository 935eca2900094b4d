package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// holdingMaxAge bounds how long ago an advertised prefix was last used; earlier
	// exchanges covered older uses.
	holdingMaxAge = 1500 * time.Millisecond
	// remoteHoldingMaxAge is the same for prefixes of other regions. It is longer as only a
	// few VMs receive them first and pass them on.
	remoteHoldingMaxAge = 3 * time.Second
	// maxCrossRegionHoldings and maxRegionHoldings bound the prefixes in one message to
	// another region and within the region, at about 40 bytes each.
	maxCrossRegionHoldings = 32
	maxRegionHoldings      = 64
)

// regionHoldings lists prompt prefixes recently sent to engines of this region for other
// VMs of the region, whose engines can fetch them.
func (p *pools) regionHoldings(now time.Time) []*peerpb.PrefixHolding {
	return p.holdingMessages(maxRegionHoldings, now, func(pool *pool) []routing.Holding {
		return pool.Endpoints.Holdings(routing.MinHoldingTokens, now.Add(-holdingMaxAge), maxRegionHoldings)
	})
}

// crossRegionHoldings lists prefixes long enough to be fetched from another region.
func (p *pools) crossRegionHoldings(now time.Time) []*peerpb.PrefixHolding {
	return p.holdingMessages(maxCrossRegionHoldings, now, func(pool *pool) []routing.Holding {
		return pool.Endpoints.Holdings(routing.MinRemoteHoldingTokens, now.Add(-holdingMaxAge), maxCrossRegionHoldings)
	})
}

// remoteHoldings lists prefixes held in other regions for VMs of this region.
func (p *pools) remoteHoldings(now time.Time) []*peerpb.PrefixHolding {
	return p.holdingMessages(maxCrossRegionHoldings, now, func(pool *pool) []routing.Holding {
		return pool.Endpoints.RemoteHoldings(now.Add(-remoteHoldingMaxAge), maxCrossRegionHoldings)
	})
}

func (p *pools) holdingMessages(limit int, now time.Time, list func(*pool) []routing.Holding) []*peerpb.PrefixHolding {
	var out []*peerpb.PrefixHolding
	for service, pool := range p.all() {
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
		if pool := p.all()[service]; pool != nil {
			pool.Endpoints.AddHoldings(holdings, now)
		}
	}
}
