package endpoint

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the size of a cache block.
	blockTokens = 16
	// keptEvents bounds the events that can still be asked for.
	keptEvents = 4096
	// gapEvery is how often an event is lost.
	gapEvery = 7
)

// blocksOf hashes each prefix of whole blocks.
func blocksOf(words []string) []uint64 {
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

// CacheEvent tells of blocks that came into the cache or left it.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Stored   []uint64  `json:"stored,omitempty"`
	Removed  []uint64  `json:"removed,omitempty"`
}

// cache holds the prefix blocks that were used last.
type cache struct {
	capacity int
	byHash   map[uint64]*list.Element
	// order holds hashes, the latest used in front.
	order    *list.List
	sequence uint64
	events   []CacheEvent
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		byHash:   make(map[uint64]*list.Element),
		order:    list.New(),
	}
}

// match returns how many leading blocks are in the cache.
func (c *cache) match(blocks []uint64) int {
	for i, hash := range blocks {
		if _, ok := c.byHash[hash]; !ok {
			return i
		}
	}
	return len(blocks)
}

// insert makes the blocks the latest used. The first ones end up in front, so
// that a prefix outlives what follows it.
func (c *cache) insert(blocks []uint64) {
	event := CacheEvent{At: time.Now()}
	for _, hash := range slices.Backward(blocks) {
		if element, ok := c.byHash[hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.byHash[hash] = c.order.PushFront(hash)
		event.Stored = append(event.Stored, hash)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		hash, _ := c.order.Remove(oldest).(uint64)
		delete(c.byHash, hash)
		event.Removed = append(event.Removed, hash)
	}
	if len(event.Stored)+len(event.Removed) > 0 {
		c.record(event)
	}
}

// record keeps an event, or loses it.
func (c *cache) record(event CacheEvent) {
	c.sequence++
	if c.sequence%gapEvery == 0 {
		return
	}
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > 2*keptEvents {
		c.events = slices.Clone(c.events[keptEvents:])
	}
}

// after returns the events above a sequence number that are older than until.
func (c *cache) after(sequence uint64, until time.Time) []CacheEvent {
	var found []CacheEvent
	for _, event := range c.events {
		if event.Sequence > sequence && event.At.Before(until) {
			found = append(found, event)
		}
	}
	return found
}
