package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// usualPrompt is the prompt, in tokens, for which a region tells others its
	// time to the first token.
	referencePromptTokens = 1000
	// loadGoodFor is how long a region's word about its load is used: a region that
	// is lost must not be sent calls for longer.
	regionLoadTTL = 4 * time.Second
)

// regionLoad is a region's load with the time of the word.
type regionLoad struct {
	placement.Load
	// token is the time for each generated token there, and readsPerSecond how many
	// prompt tokens an endpoint reads in a second.
	timePerToken           time.Duration
	prefillTokensPerSecond float64
	reportedAt             time.Time
}

// wayTo is the time there and back to a region that told its load of a service;
// zero for the own region and one that told nothing.
func (snap *snapshot) rttTo(service, region string) time.Duration {
	for _, l := range snap.regionLoads[service] {
		if l.Region == region {
			return l.Way
		}
	}
	return 0
}

type loadKey struct {
	region  string
	service string
}

// takeLoads takes what regions say of themselves, or what another VM of this
// region has heard of them.
func (c *control) applyRegionLoads(loads []*peerpb.RegionLoad, sentAt time.Time) {
	for _, l := range loads {
		if l.GetRegion() == c.node.deployment.Region {
			continue
		}
		key := loadKey{
			region:  l.GetRegion(),
			service: l.GetService(),
		}
		at := sentAt.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		if at.Sub(c.regionLoads[key].reportedAt) <= newerMargin {
			continue
		}
		c.regionLoads[key] = regionLoad{
			Load: placement.Load{
				Region:    l.GetRegion(),
				Endpoints: int(l.GetEndpoints()),
				First:     time.Duration(l.GetFirstMs()) * time.Millisecond,
			},
			timePerToken:           time.Duration(l.GetTokenUs()) * time.Microsecond,
			prefillTokensPerSecond: float64(l.GetReadsPerSecond()),
			reportedAt:             at,
		}
	}
}

// loadsByService returns the loads that still count.
func (c *control) regionLoadsByService(now time.Time) map[string][]regionLoad {
	out := make(map[string][]regionLoad)
	for key, load := range c.regionLoads {
		if now.Sub(load.reportedAt) >= regionLoadTTL {
			delete(c.regionLoads, key)
			continue
		}
		load.Way = c.rtt(key.region)
		out[key.service] = append(out[key.service], load)
	}
	return out
}

// loadsMessage tells the other VMs of this region what is known of the others.
func (c *control) remoteLoadMessages(now time.Time) []*peerpb.RegionLoad {
	var out []*peerpb.RegionLoad
	for key, load := range c.regionLoads {
		age := now.Sub(load.reportedAt)
		if age >= regionLoadTTL {
			continue
		}
		out = append(out, &peerpb.RegionLoad{
			Service:        key.service,
			Endpoints:      uint32(load.Endpoints),
			FirstMs:        uint32(load.First.Milliseconds()),
			TokenUs:        uint32(load.timePerToken.Microseconds()),
			Region:         key.region,
			AgeMs:          uint32(max(age.Milliseconds(), 0)),
			ReadsPerSecond: uint32(load.prefillTokensPerSecond),
		})
	}
	return out
}

// loads tells other regions how this one can serve each service.
func (p *pools) localLoadMessages(now time.Time) []*peerpb.RegionLoad {
	var out []*peerpb.RegionLoad
	for service, pool := range p.table.Load().byService {
		expected, ok := pool.Endpoints.Expect(routing.Request{
			PromptTokens: referencePromptTokens,
		}, now)
		endpoints := 0
		supply := pool.Endpoints.Supply(now)
		if ok {
			endpoints = supply.Endpoints
		}
		out = append(out, &peerpb.RegionLoad{
			Region:         p.node.deployment.Region,
			Service:        service,
			Endpoints:      uint32(endpoints),
			FirstMs:        uint32(expected.First.Milliseconds()),
			TokenUs:        uint32(expected.Token.Microseconds()),
			ReadsPerSecond: uint32(supply.PrefillPerSecond),
		})
	}
	return out
}
