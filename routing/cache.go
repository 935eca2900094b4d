package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

const (
	// prefixTTL is how long a prefix counts as cached after its last use. A loaded engine
	// tends to evict it sooner than that.
	prefixTTL = 20 * time.Second
	// prefixCacheFraction is the fraction of an engine's KV cache that is assumed to hold
	// shared prefixes; running requests use the rest.
	prefixCacheFraction = 0.5
	// defaultCacheTokens is the cache size of an engine that does not report one.
	defaultCacheTokens = 200_000
	// minFetchTokens is the least number of tokens that a fetch from another engine must
	// save. A fetch takes longer than the prefill of so few tokens, but leaves the engine
	// free for other calls.
	minFetchTokens = 64
	// fetchCostFactor is the cost of a fetched token relative to a prefilled one: an engine
	// prefills about 50 tokens a millisecond, and about 5,000 come over the link.
	fetchCostFactor = 0.1
)

// Prefix is a prompt prefix that ends with one of the prompt's shared parts.
type Prefix struct {
	Hash uint64
	// Tokens is the prefix's length from the start of the prompt.
	Tokens int
}

// Prefixes returns the shared prefixes of a prompt: one up to the end of each part except
// the last, which is specific to the call.
func Prefixes(workspace string, parts []call.PromptPart) []Prefix {
	if len(parts) < 2 {
		return nil
	}
	out := make([]Prefix, 0, len(parts)-1)
	tokens := 0
	for i := range parts[:len(parts)-1] {
		tokens += parts[i].Tokens
		out = append(out, Prefix{
			Hash:   call.SharedPrefix(workspace, parts[:i+2]),
			Tokens: tokens,
		})
	}
	return out
}

// prefixCache models an engine's prefix cache: the prefixes of calls that were sent
// there, with LRU eviction.
type prefixCache struct {
	entries map[uint64]*cacheEntry
	tokens  int
}

type cacheEntry struct {
	// addedTokens is the length beyond the preceding prefix, prefixTokens the whole
	// length.
	addedTokens  int
	prefixTokens int
	usedAt       time.Time
}

// touch records a call with these prefixes.
func (c *prefixCache) touch(prefixes []Prefix, limit int, now time.Time) {
	if c.entries == nil {
		c.entries = make(map[uint64]*cacheEntry)
	}
	before := 0
	for _, p := range prefixes {
		h := c.entries[p.Hash]
		if h == nil {
			h = &cacheEntry{
				addedTokens:  p.Tokens - before,
				prefixTokens: p.Tokens,
			}
			c.entries[p.Hash] = h
			c.tokens += h.addedTokens
		}
		h.usedAt = now
		before = p.Tokens
	}
	for c.tokens > limit && len(c.entries) > len(prefixes) {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	var oldest uint64
	var at time.Time
	for hash, h := range c.entries {
		if at.IsZero() || h.usedAt.Before(at) {
			oldest = hash
			at = h.usedAt
		}
	}
	c.tokens -= c.entries[oldest].addedTokens
	delete(c.entries, oldest)
}

// cachedTokens returns the length of the longest cached prefix.
func (c *prefixCache) cachedTokens(prefixes []Prefix, now time.Time) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		h := c.entries[prefixes[i].Hash]
		if h != nil && now.Sub(h.usedAt) <= prefixTTL {
			return prefixes[i].Tokens
		}
	}
	return 0
}

// prefixCacheLimit returns the assumed capacity for shared prefixes, in tokens.
func (e *endpoint) prefixCacheLimit() int {
	tokens := e.load.CacheTokens
	if tokens <= 0 {
		tokens = defaultCacheTokens
	}
	return int(float64(tokens) * prefixCacheFraction)
}

// Confirm records that a tentative choice was sent, with its prefixes.
func (p *Pool) Confirm(c Choice, prefixes []Prefix, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state != nil {
		p.recordHolder(c.state, prefixes, now)
	}
}

// recordHolder records that a call with these prefixes was sent to an engine.
func (p *Pool) recordHolder(e *endpoint, prefixes []Prefix, now time.Time) {
	if len(prefixes) == 0 {
		return
	}
	e.prefixCache.touch(prefixes, e.prefixCacheLimit(), now)
	for _, prefix := range prefixes {
		p.prefixHolders[prefix.Hash] = e
	}
	if len(p.prefixHolders) > maxHolders {
		p.pruneHolders(now)
	}
}

// Holding states that an engine was sent a call with a prefix.
type Holding struct {
	Hash     uint64
	Tokens   int
	Endpoint string
	UsedAt   time.Time
}

const (
	// MinHoldingTokens is the minimum length, in tokens, of prefixes that are announced to
	// VMs of the same region.
	MinHoldingTokens = 300
	// MinRemoteHoldingTokens is the same for VMs of other regions, where bandwidth is scarcer.
	MinRemoteHoldingTokens = 1000
)

// RemoteHoldings returns up to limit holdings of other regions' engines used at or after
// since.
func (p *Pool) RemoteHoldings(since time.Time, limit int) []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Holding
	for _, h := range p.remote.holders {
		if len(out) == limit {
			break
		}
		if !h.UsedAt.Before(since) {
			out = append(out, h)
		}
	}
	return out
}

// Holdings returns, in random order, up to limit prefixes of at least minTokens tokens used at
// or after since, with the engine that was last sent each.
func (p *Pool) Holdings(minTokens int, since time.Time, limit int) []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Holding
	for hash, e := range p.prefixHolders {
		if len(out) == limit {
			break
		}
		h := e.prefixCache.entries[hash]
		if e.unlisted || h == nil || h.prefixTokens < minTokens || h.usedAt.Before(since) {
			continue
		}
		out = append(out, Holding{
			Hash:     hash,
			Tokens:   h.prefixTokens,
			Endpoint: e.ID,
			UsedAt:   h.usedAt,
		})
	}
	return out
}

// AddHoldings applies holdings announced by another VM.
func (p *Pool) AddHoldings(list []Holding, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range list {
		e := p.byID[l.Endpoint]
		if e == nil {
			p.remote.record(l, now)
			continue
		}
		if !e.startedBy(l.UsedAt) {
			continue
		}
		if h := e.prefixCache.entries[l.Hash]; h != nil && !h.usedAt.Before(l.UsedAt) {
			continue
		}
		e.prefixCache.touch([]Prefix{{Hash: l.Hash, Tokens: l.Tokens}}, e.prefixCacheLimit(), l.UsedAt)
		if old := p.prefixHolders[l.Hash]; old == nil || old.unlisted || old.prefixCache.entries[l.Hash] == nil || old.prefixCache.entries[l.Hash].usedAt.Before(l.UsedAt) {
			p.prefixHolders[l.Hash] = e
		}
	}
}

// maxHolders bounds the index of prefix holders; when it is exceeded, expired entries are
// dropped.
const maxHolders = 16_384

func (p *Pool) pruneHolders(now time.Time) {
	for hash, e := range p.prefixHolders {
		h := e.prefixCache.entries[hash]
		if e.unlisted || h == nil || now.Sub(h.usedAt) > prefixTTL {
			delete(p.prefixHolders, hash)
		}
	}
	if len(p.prefixHolders) > maxHolders {
		clear(p.prefixHolders)
	}
}
