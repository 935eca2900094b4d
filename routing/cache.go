package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

const (
	// cacheGoodFor is how long a prefix counts as held after its last use. Under
	// load an engine needs the memory for other requests before that is over.
	cacheGoodFor = 20 * time.Second
	// cacheShare is the part of an engine's memory that is taken to hold shared
	// prefixes; running requests need the rest.
	cacheShare = 0.5
	// defaultCacheTokens stands in where an engine does not tell its memory.
	defaultCacheTokens = 200_000
	// fetchLeast is how many tokens a fetch from another engine must save. The question
	// takes some milliseconds and reading as many tokens little more than one, but an
	// engine that reads has less time for others: with 256, 7% more tokens of shared
	// parts were read again (40 plays of five days with faults).
	fetchLeast = 64
	// fetchedPart is what a fetched token costs of one that is read. An engine
	// reads some 50 tokens a millisecond, and some 5,000 come over the link.
	fetchedPart = 0.1
)

// Prefix is the beginning of a prompt up to the end of one shared part.
type Prefix struct {
	Hash uint64
	// Tokens counts from the prompt's beginning.
	Tokens int
}

// Prefixes returns the beginnings that a prompt shares with others: up to the end
// of each part but the last, which is the call's own.
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

// cache is what an engine is taken to hold: the prefixes of calls that were
// sent there, the least recently used dropped first.
type cache struct {
	held   map[uint64]*heldPrefix
	tokens int
}

type heldPrefix struct {
	// tokens are those beyond the prefix before it, length all to the end of it.
	tokens int
	length int
	usedAt time.Time
}

// touch records that a call with these prefixes was sent.
func (c *cache) touch(prefixes []Prefix, limit int, now time.Time) {
	if c.held == nil {
		c.held = make(map[uint64]*heldPrefix)
	}
	before := 0
	for _, p := range prefixes {
		h := c.held[p.Hash]
		if h == nil {
			h = &heldPrefix{
				tokens: p.Tokens - before,
				length: p.Tokens,
			}
			c.held[p.Hash] = h
			c.tokens += h.tokens
		}
		h.usedAt = now
		before = p.Tokens
	}
	for c.tokens > limit && len(c.held) > len(prefixes) {
		c.dropOldest()
	}
}

func (c *cache) dropOldest() {
	var oldest uint64
	var at time.Time
	for hash, h := range c.held {
		if at.IsZero() || h.usedAt.Before(at) {
			oldest = hash
			at = h.usedAt
		}
	}
	c.tokens -= c.held[oldest].tokens
	delete(c.held, oldest)
}

// warm returns how many tokens from the prompt's beginning are held.
func (c *cache) warm(prefixes []Prefix, now time.Time) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		h := c.held[prefixes[i].Hash]
		if h != nil && now.Sub(h.usedAt) <= cacheGoodFor {
			return prefixes[i].Tokens
		}
	}
	return 0
}

// cacheLimit is how many tokens of shared prefixes the engine is taken to hold.
func (e *endpoint) cacheLimit() int {
	tokens := e.load.CacheTokens
	if tokens <= 0 {
		tokens = defaultCacheTokens
	}
	return int(float64(tokens) * cacheShare)
}

// Confirm takes that a call with these prefixes is sent where it was tentatively chosen to go.
func (p *Pool) Confirm(c Choice, prefixes []Prefix, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state != nil {
		p.hold(c.state, prefixes, now)
	}
}

// hold records that an engine is sent a call with these prefixes.
func (p *Pool) hold(e *endpoint, prefixes []Prefix, now time.Time) {
	if len(prefixes) == 0 {
		return
	}
	e.cache.touch(prefixes, e.cacheLimit(), now)
	for _, prefix := range prefixes {
		p.holders[prefix.Hash] = e
	}
	if len(p.holders) > holdersMost {
		p.forgetHolders(now)
	}
}

// Holding says that an engine was sent a call with a prefix.
type Holding struct {
	Hash     uint64
	Tokens   int
	Endpoint string
	UsedAt   time.Time
}

const (
	// HoldingLeast is from how many tokens on it is worth telling the VMs of the own
	// region who holds a prefix: with 1,000, 11% more tokens of shared parts were
	// read again (40 plays of five days with faults).
	HoldingLeast = 300
	// FarHoldingLeast is the same for VMs of other regions, where each entry costs
	// bytes between them: with 400, they carried 7% more bytes for nothing gained.
	FarHoldingLeast = 1000
)

// FarHoldings returns those of other regions, at most so many of them.
func (p *Pool) FarHoldings(since time.Time, most int) []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Holding
	for _, h := range p.far.holders {
		if len(out) == most {
			break
		}
		if !h.UsedAt.Before(since) {
			out = append(out, h)
		}
	}
	return out
}

// Holdings gives who was last sent each prefix of so many tokens or more since a moment,
// at most so many, others each time.
func (p *Pool) Holdings(least int, since time.Time, most int) []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Holding
	for hash, e := range p.holders {
		if len(out) == most {
			break
		}
		h := e.cache.held[hash]
		if e.unlisted || h == nil || h.length < least || h.usedAt.Before(since) {
			continue
		}
		out = append(out, Holding{
			Hash:     hash,
			Tokens:   h.length,
			Endpoint: e.ID,
			UsedAt:   h.usedAt,
		})
	}
	return out
}

// Learn takes who holds prefixes from another VM.
func (p *Pool) Learn(list []Holding, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range list {
		e := p.byID[l.Endpoint]
		if e == nil {
			p.far.learn(l, now)
			continue
		}
		if !e.livedAt(l.UsedAt) {
			continue
		}
		if h := e.cache.held[l.Hash]; h != nil && !h.usedAt.Before(l.UsedAt) {
			continue
		}
		e.cache.touch([]Prefix{{Hash: l.Hash, Tokens: l.Tokens}}, e.cacheLimit(), l.UsedAt)
		if old := p.holders[l.Hash]; old == nil || old.unlisted || old.cache.held[l.Hash] == nil || old.cache.held[l.Hash].usedAt.Before(l.UsedAt) {
			p.holders[l.Hash] = e
		}
	}
}

// holdersMost bounds the index of prefixes; over it those no longer held are dropped.
const holdersMost = 16_384

func (p *Pool) forgetHolders(now time.Time) {
	for hash, e := range p.holders {
		h := e.cache.held[hash]
		if e.unlisted || h == nil || now.Sub(h.usedAt) > cacheGoodFor {
			delete(p.holders, hash)
		}
	}
	if len(p.holders) > holdersMost {
		clear(p.holders)
	}
}
