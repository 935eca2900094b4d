package routing

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// remoteHoldingTTL is how long an engine of another region counts as holding a prefix
// after its last use. It is shorter than prefixTTL, as evictions there are not announced.
const remoteHoldingTTL = 8 * time.Second

// fetchSource is an engine from which a cached prompt prefix can be fetched.
type fetchSource struct {
	// endpoint is nil for an engine of another region.
	endpoint *endpoint
	addr     string
	tokens   int
}

// remoteEngines are the engines of other regions, which are only used as fetch sources,
// and the engine that was last sent each prefix.
type remoteEngines struct {
	endpoints map[string]fleet.Endpoint
	holders   map[uint64]Holding
	// reachable are the regions that are in reach.
	reachable []string
}

// UpdateRemote adds or changes some engines of other regions and removes others.
func (p *Pool) UpdateRemote(changed []fleet.Endpoint, removed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range removed {
		delete(p.remote.endpoints, id)
	}
	restarted := make(map[string]bool)
	for _, e := range changed {
		if old, ok := p.remote.endpoints[e.ID]; ok && old.Incarnation < e.Incarnation {
			restarted[e.ID] = true
		}
		p.remote.endpoints[e.ID] = e
	}
	p.remote.dropHoldings(restarted)
}

// SetReachableRegions sets the other regions whose engines may be used as fetch sources.
func (p *Pool) SetReachableRegions(regions []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remote.reachable = regions
}

// record stores a holding of another region's engine.
func (f *remoteEngines) record(h Holding, now time.Time) {
	if _, ok := f.endpoints[h.Endpoint]; !ok || !h.UsedAt.After(f.holders[h.Hash].UsedAt) {
		return
	}
	f.holders[h.Hash] = h
	if len(f.holders) > maxHolders {
		f.prune(now)
	}
}

func (f *remoteEngines) prune(now time.Time) {
	for hash, h := range f.holders {
		if now.Sub(h.UsedAt) > remoteHoldingTTL {
			delete(f.holders, hash)
		}
	}
	if len(f.holders) > maxHolders {
		clear(f.holders)
	}
}

// bestSource returns the engine with the longest prefix. homes are the regions that may
// hold the prompt; empty means all.
func (f *remoteEngines) bestSource(prefixes []Prefix, homes []string, now time.Time) fetchSource {
	for i := len(prefixes) - 1; i >= 0; i-- {
		h, ok := f.holders[prefixes[i].Hash]
		if !ok || now.Sub(h.UsedAt) > remoteHoldingTTL {
			continue
		}
		e, ok := f.endpoints[h.Endpoint]
		if !ok || !slices.Contains(f.reachable, e.Region) || len(homes) > 0 && !slices.Contains(homes, e.Region) {
			continue
		}
		return fetchSource{
			addr:   e.Addr,
			tokens: prefixes[i].Tokens,
		}
	}
	return fetchSource{}
}

// findSource returns the engine with the longest cached prefix: the prefix's primary on
// the ring, another engine of this region, or one of another region.
func (p *Pool) findSource(primary *endpoint, r Request, now time.Time) fetchSource {
	if p.without.CacheFetch {
		return fetchSource{}
	}
	local := p.localSource(primary, r.Prefixes, now)
	if p.without.RemoteCacheFetch {
		return local
	}
	if remote := p.remote.bestSource(r.Prefixes, r.Homes, now); remote.tokens > local.tokens {
		return remote
	}
	return local
}

// localSource returns the engine of this region with the longest cached prefix. The
// primary on the ring is preferred only among equals, as it may hold no more than the
// first part.
func (p *Pool) localSource(primary *endpoint, prefixes []Prefix, now time.Time) fetchSource {
	var best fetchSource
	if primary != nil {
		best = newLocalSource(primary, primary.prefixCache.cachedTokens(prefixes, now))
	}
	for i := len(prefixes) - 1; i >= 0 && prefixes[i].Tokens > best.tokens; i-- {
		e := p.prefixHolders[prefixes[i].Hash]
		if e == nil || e.unlisted {
			continue
		}
		if tokens := e.prefixCache.cachedTokens(prefixes[:i+1], now); tokens > best.tokens {
			best = newLocalSource(e, tokens)
		}
	}
	return best
}

// newLocalSource returns an engine of this region as a source, or none if it holds
// nothing.
func newLocalSource(e *endpoint, tokens int) fetchSource {
	if tokens == 0 {
		return fetchSource{}
	}
	return fetchSource{
		endpoint: e,
		addr:     e.Addr,
		tokens:   tokens,
	}
}
