package standin

import (
	"container/list"
	"fmt"
	"hash/fnv"
	"time"
)

// blockTokens is the size of a cache block. 16 is the common block size of
// engines with a paged KV cache.
const blockTokens = 16

// maxCacheEvents bounds the published cache events that are kept for readers.
const maxCacheEvents = 4096

// CacheEvent is one change of an endpoint's prefix cache as it is published.
type CacheEvent struct {
	// Position rises by one per event, also over events that are never published.
	Position uint64 `json:"position"`
	// Kind is stored or removed.
	Kind string `json:"kind"`
	// Block is the hash of the block and of all blocks before it, in hexadecimal.
	Block string `json:"block"`
}

// datedEvent is a cache event with the time from which it may be read.
type datedEvent struct {
	CacheEvent
	visible time.Time
}

// prefixCache is an LRU over chained hashes of prompt blocks. Its user holds the
// endpoint's lock.
type prefixCache struct {
	// capacity is the number of blocks; zero disables the cache.
	capacity int
	// lag delays each event; every gap-th event is lost, none when gap is zero.
	lag time.Duration
	gap uint64

	order    *list.List // of uint64, most recently used first
	blocks   map[uint64]*list.Element
	position uint64
	events   []datedEvent
}

func newPrefixCache(tokens int, lag time.Duration, gap uint64) *prefixCache {
	return &prefixCache{
		capacity: tokens / blockTokens,
		lag:      lag,
		gap:      gap,
		order:    list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// blockHashes returns the chained hashes of the whole blocks of prompt.
func blockHashes(prompt string) []uint64 {
	const size = blockTokens * tokenBytes
	hashes := make([]uint64, 0, len(prompt)/size)
	h := fnv.New64a()
	for len(prompt) >= size {
		h.Write([]byte(prompt[:size]))
		hashes = append(hashes, h.Sum64())
		prompt = prompt[size:]
	}
	return hashes
}

// hit returns the number of leading blocks that are cached and marks them used.
func (c *prefixCache) hit(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.blocks[hashes[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[hashes[i]])
	}
	return n
}

// store adds the blocks and removes the least recently used ones beyond capacity.
func (c *prefixCache) store(hashes []uint64, now time.Time) {
	if c.capacity == 0 {
		return
	}
	// Later blocks go in first, so that a prefix loses its tail before its head.
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if e, found := c.blocks[h]; found {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.publish("stored", h, now)
	}
	for c.order.Len() > c.capacity {
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
	c.events = append(c.events, datedEvent{
		CacheEvent: CacheEvent{Position: c.position, Kind: kind, Block: fmt.Sprintf("%016x", block)},
		visible:    now.Add(c.lag),
	})
}

// after returns the events past position that are visible at now.
func (c *prefixCache) after(position uint64, now time.Time) []CacheEvent {
	res := []CacheEvent{}
	for _, e := range c.events {
		if e.Position > position && !e.visible.After(now) {
			res = append(res, e.CacheEvent)
		}
	}
	return res
}
