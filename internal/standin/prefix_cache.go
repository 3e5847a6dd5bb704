package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// cacheBlockBytes is the length of the prompt part that one cache block covers.
const cacheBlockBytes = 64

// prefixCache is an LRU cache of prompt prefixes, in blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// use looks up a prompt, adds its blocks to the cache, and returns how many bytes
// follow the longest cached prefix.
func (c *prefixCache) use(prompt string) int {
	digest := xxhash.New()
	cached := 0
	hit := true
	for start := 0; start+cacheBlockBytes <= len(prompt); start += cacheBlockBytes {
		_, _ = digest.WriteString(prompt[start : start+cacheBlockBytes])
		if hit = c.touch(digest.Sum64()) && hit; hit {
			cached += cacheBlockBytes
		}
	}
	return len(prompt) - cached
}

// touch makes the block the most recently used one and reports whether it was
// cached. A new block evicts the least recently used one if the cache is full.
func (c *prefixCache) touch(block uint64) bool {
	if element, found := c.blocks[block]; found {
		c.order.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	return false
}
