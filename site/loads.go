package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// referencePromptTokens is the prompt length for which regions report their time to
	// first token.
	referencePromptTokens = 1000
	// regionLoadTTL is how long the load report of a region is used, which bounds how long
	// calls are sent to a region that was lost.
	regionLoadTTL = 4 * time.Second
)

// regionLoad is the load that a region reported, and when.
type regionLoad struct {
	placement.Load
	timePerToken time.Duration
	// prefillTokensPerSecond is the prefill speed of one endpoint.
	prefillTokensPerSecond float64
	reportedAt             time.Time
}

// rttTo returns the round-trip time to a region that reported a load for the service, or
// zero.
func (snap *snapshot) rttTo(service, region string) time.Duration {
	for _, l := range snap.regionLoads[service] {
		if l.Region == region {
			return l.RoundTrip
		}
	}
	return 0
}

type loadKey struct {
	region  string
	service string
}

// applyRegionLoads merges load reports of other regions, received directly or through
// VMs of this region.
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
				TTFT:      time.Duration(l.GetFirstMs()) * time.Millisecond,
			},
			timePerToken:           time.Duration(l.GetTokenUs()) * time.Microsecond,
			prefillTokensPerSecond: float64(l.GetReadsPerSecond()),
			reportedAt:             at,
		}
	}
}

// regionLoadsByService returns the unexpired load reports and drops the others.
func (c *control) regionLoadsByService(now time.Time) map[string][]regionLoad {
	out := make(map[string][]regionLoad)
	for key, load := range c.regionLoads {
		if now.Sub(load.reportedAt) >= regionLoadTTL {
			delete(c.regionLoads, key)
			continue
		}
		load.RoundTrip = c.rtt(key.region)
		out[key.service] = append(out[key.service], load)
	}
	return out
}

// remoteLoadMessages lists the load reports of other regions for VMs of this region.
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
			FirstMs:        uint32(load.TTFT.Milliseconds()),
			TokenUs:        uint32(load.timePerToken.Microseconds()),
			Region:         key.region,
			AgeMs:          uint32(max(age.Milliseconds(), 0)),
			ReadsPerSecond: uint32(load.prefillTokensPerSecond),
		})
	}
	return out
}

// localLoadMessages lists the load of this region by service for VMs of other regions.
func (p *pools) localLoadMessages(now time.Time) []*peerpb.RegionLoad {
	var out []*peerpb.RegionLoad
	for service, pool := range p.all() {
		expected, ok := pool.Endpoints.Expect(routing.Request{
			PromptTokens: referencePromptTokens,
		}, now)
		endpoints := 0
		supply := pool.Endpoints.Capacity(now)
		if ok {
			endpoints = supply.Endpoints
		}
		out = append(out, &peerpb.RegionLoad{
			Region:         p.node.deployment.Region,
			Service:        service,
			Endpoints:      uint32(endpoints),
			FirstMs:        uint32(expected.TTFT.Milliseconds()),
			TokenUs:        uint32(expected.TokenTime.Microseconds()),
			ReadsPerSecond: uint32(supply.PrefillRate),
		})
	}
	return out
}
