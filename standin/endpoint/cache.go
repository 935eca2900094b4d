package endpoint

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the size of a cache block in tokens.
	blockTokens = 16
	// minRetainedEvents is the number of recent events that always stay readable.
	minRetainedEvents = 4096
	// dropInterval makes every n-th event get lost, so that readers must handle
	// gaps in the sequence.
	dropInterval = 7
)

// hashBlocks returns a hash of each prefix that consists of whole blocks.
func hashBlocks(words []string) []uint64 {
	blocks := make([]uint64, 0, len(words)/blockTokens)
	digest := xxhash.New()
	for block := range slices.Chunk(words, blockTokens) {
		if len(block) < blockTokens {
			break
		}
		_, _ = digest.WriteString(strings.Join(block, " "))
		_, _ = digest.WriteString("\n")
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// CacheEvent lists blocks that were stored in the cache or evicted from it.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Stored   []uint64  `json:"stored,omitempty"`
	Removed  []uint64  `json:"removed,omitempty"`
}

// prefixCache is an LRU cache of prompt prefix blocks.
type prefixCache struct {
	capacity int
	byHash   map[uint64]*list.Element
	// recency holds the hashes, most recently used first.
	recency  *list.List
	sequence uint64
	events   []CacheEvent
}

func newCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		byHash:   make(map[uint64]*list.Element),
		recency:  list.New(),
	}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, hash := range blocks {
		if _, ok := c.byHash[hash]; !ok {
			return i
		}
	}
	return len(blocks)
}

// insert marks the blocks as most recently used and evicts those over capacity.
// Leading blocks rank first, so that a prefix is evicted after its extensions.
func (c *prefixCache) insert(blocks []uint64) {
	event := CacheEvent{At: time.Now()}
	for _, hash := range slices.Backward(blocks) {
		if element, ok := c.byHash[hash]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.byHash[hash] = c.recency.PushFront(hash)
		event.Stored = append(event.Stored, hash)
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		hash, _ := c.recency.Remove(oldest).(uint64)
		delete(c.byHash, hash)
		event.Removed = append(event.Removed, hash)
	}
	if len(event.Stored)+len(event.Removed) > 0 {
		c.recordEvent(event)
	}
}

// recordEvent appends an event, and drops every dropInterval-th one.
func (c *prefixCache) recordEvent(event CacheEvent) {
	c.sequence++
	if c.sequence%dropInterval == 0 {
		return
	}
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > 2*minRetainedEvents {
		c.events = slices.Clone(c.events[minRetainedEvents:])
	}
}

// eventsBetween returns the events after a sequence number and before a time.
func (c *prefixCache) eventsBetween(sequence uint64, until time.Time) []CacheEvent {
	var found []CacheEvent
	for _, event := range c.events {
		if event.Sequence > sequence && event.At.Before(until) {
			found = append(found, event)
		}
	}
	return found
}
