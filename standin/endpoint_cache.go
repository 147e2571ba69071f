package standin

import (
	"container/list"
	"fmt"
	"hash/fnv"
	"time"
)

// blockTokens is the size of a cache block in tokens. 16 is the common block size
// of engines with a paged KV cache.
const blockTokens = 16

// maxCacheEvents is the maximum number of published cache events kept for readers.
const maxCacheEvents = 4096

// CacheEvent is one change of an endpoint's prefix cache as it is published.
type CacheEvent struct {
	// Position increases by one per event, including events that are never
	// published.
	Position uint64 `json:"position"`
	// Kind is stored or removed.
	Kind string `json:"kind"`
	// Block is the hash of the block and of all blocks before it, in hexadecimal.
	Block string `json:"block"`
}

// delayedEvent is a cache event and the time from which it can be read.
type delayedEvent struct {
	CacheEvent
	visibleAt time.Time
}

// prefixCache is an LRU cache of the chained hashes of prompt blocks. The
// endpoint's lock guards it.
type prefixCache struct {
	// maxBlocks is the capacity in blocks; zero disables the cache.
	maxBlocks int
	// lag is the delay of each event. Every gap-th event is lost, none if gap is
	// zero.
	lag time.Duration
	gap uint64

	order    *list.List // of uint64, most recently used first
	blocks   map[uint64]*list.Element
	position uint64
	events   []delayedEvent
}

func newPrefixCache(tokens int, lag time.Duration, gap uint64) *prefixCache {
	return &prefixCache{
		maxBlocks: tokens / blockTokens,
		lag:       lag,
		gap:       gap,
		order:     list.New(),
		blocks:    map[uint64]*list.Element{},
	}
}

// blockHashes returns the chained hashes of the complete blocks of prompt. The hash
// of a block covers all blocks before it too.
func blockHashes(prompt string) []uint64 {
	const blockBytes = blockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	h := fnv.New64a()
	for len(prompt) >= blockBytes {
		h.Write([]byte(prompt[:blockBytes]))
		hashes = append(hashes, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// lookup returns the number of leading blocks that are cached and marks them as
// most recently used.
func (c *prefixCache) lookup(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.blocks[hashes[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[hashes[i]])
	}
	return n
}

// store adds the blocks and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) store(hashes []uint64, now time.Time) {
	if c.maxBlocks == 0 {
		return
	}
	// Later blocks are inserted first, so that the tail of a prefix is evicted before
	// its head.
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if e, found := c.blocks[h]; found {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.publish("stored", h, now)
	}
	for c.order.Len() > c.maxBlocks {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		c.publish("removed", h, now)
	}
}

func (c *prefixCache) publish(kind string, block uint64, now time.Time) {
	c.position++
	if c.gap > 0 && c.position%c.gap == 0 {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/4:]...)
	}
	c.events = append(c.events, delayedEvent{
		CacheEvent: CacheEvent{Position: c.position, Kind: kind, Block: fmt.Sprintf("%016x", block)},
		visibleAt:  now.Add(c.lag),
	})
}

// eventsAfter returns the events after position that are visible at now.
func (c *prefixCache) eventsAfter(position uint64, now time.Time) []CacheEvent {
	res := []CacheEvent{}
	for _, e := range c.events {
		if e.Position > position && !e.visibleAt.After(now) {
			res = append(res, e.CacheEvent)
		}
	}
	return res
}
