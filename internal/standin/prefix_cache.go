package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// cacheBlockBytes is the prompt length that one cache block covers.
const cacheBlockBytes = 64

// prefixCache remembers the prompt blocks seen last, in limited memory.
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

// use looks a prompt up, stores it, and returns its uncached bytes.
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

// touch moves a block to the front and reports whether it was there.
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
