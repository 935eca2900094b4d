package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// holdingNew is how recent a use must be to be told: what is older was told
	// in the exchanges before.
	holdingNew = 1500 * time.Millisecond
	// holdingsSent bounds the entries of one message, at some 40 bytes each.
	holdingsSent = 32
)

// holdings tell another VM which engines were sent which shared beginnings of
// prompts of late, so that others can fetch from them: those of this region, and
// where far is set those of others too.
func (p *pools) holdings(far bool, now time.Time) []*peerpb.PrefixHolding {
	var out []*peerpb.PrefixHolding
	since := now.Add(-holdingNew)
	for service, pool := range p.table.Load().byService {
		list := pool.Endpoints.Holdings(since)
		if far {
			list = append(list, pool.Endpoints.FarHoldings(since)...)
		}
		for _, h := range list {
			if len(out) == holdingsSent {
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

func (p *pools) takeHoldings(list []*peerpb.PrefixHolding, now time.Time) {
	byService := make(map[string][]routing.Holding)
	for _, m := range list {
		byService[m.GetService()] = append(byService[m.GetService()], routing.Holding{
			Hash:     m.GetPrefix(),
			Tokens:   int(m.GetTokens()),
			Endpoint: m.GetEndpoint(),
			UsedAt:   now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		})
	}
	for service, holdings := range byService {
		if pool := p.table.Load().byService[service]; pool != nil {
			pool.Endpoints.Learn(holdings, now)
		}
	}
}
