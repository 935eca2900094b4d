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
	usualPrompt = 1000
	// loadGoodFor is how long a region's word about its load is used: a region that
	// is lost must not be sent calls for longer.
	loadGoodFor = 4 * time.Second
)

// regionLoad is a region's load with the time of the word.
type regionLoad struct {
	placement.Load
	// token is the time for each generated token there, and readsPerSecond how many
	// prompt tokens an endpoint reads in a second.
	token          time.Duration
	readsPerSecond float64
	at             time.Time
}

// wayTo is the time there and back to a region that told its load of a service;
// zero for the own region and one that told nothing.
func (p *picture) wayTo(service, region string) time.Duration {
	for _, l := range p.loads[service] {
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
func (c *control) takeLoads(loads []*peerpb.RegionLoad, sentAt time.Time) {
	for _, l := range loads {
		if l.GetRegion() == c.node.deployment.Region {
			continue
		}
		key := loadKey{
			region:  l.GetRegion(),
			service: l.GetService(),
		}
		at := sentAt.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		if at.Sub(c.loads[key].at) <= newerBy {
			continue
		}
		c.loads[key] = regionLoad{
			Load: placement.Load{
				Region:    l.GetRegion(),
				Endpoints: int(l.GetEndpoints()),
				First:     time.Duration(l.GetFirstMs()) * time.Millisecond,
			},
			token:          time.Duration(l.GetTokenUs()) * time.Microsecond,
			readsPerSecond: float64(l.GetReadsPerSecond()),
			at:             at,
		}
	}
}

// loadsByService returns the loads that still count.
func (c *control) loadsByService(now time.Time) map[string][]regionLoad {
	out := make(map[string][]regionLoad)
	for key, load := range c.loads {
		if now.Sub(load.at) >= loadGoodFor {
			delete(c.loads, key)
			continue
		}
		load.Way = c.wayTo(key.region)
		out[key.service] = append(out[key.service], load)
	}
	return out
}

// loadsMessage tells the other VMs of this region what is known of the others.
func (c *control) loadsMessage(now time.Time) []*peerpb.RegionLoad {
	var out []*peerpb.RegionLoad
	for key, load := range c.loads {
		age := now.Sub(load.at)
		if age >= loadGoodFor {
			continue
		}
		out = append(out, &peerpb.RegionLoad{
			Service:        key.service,
			Endpoints:      uint32(load.Endpoints),
			FirstMs:        uint32(load.First.Milliseconds()),
			TokenUs:        uint32(load.token.Microseconds()),
			Region:         key.region,
			AgeMs:          uint32(max(age.Milliseconds(), 0)),
			ReadsPerSecond: uint32(load.readsPerSecond),
		})
	}
	return out
}

// loads tells other regions how this one can serve each service.
func (p *pools) loads(now time.Time) []*peerpb.RegionLoad {
	var out []*peerpb.RegionLoad
	for service, pool := range p.table.Load().byService {
		expected, ok := pool.Endpoints.Expect(routing.Request{
			PromptTokens: usualPrompt,
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
