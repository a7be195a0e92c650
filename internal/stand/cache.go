package stand

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// maxCacheEvents limits the cache events that an engine keeps for its clients.
const maxCacheEvents = 8192

// CacheEvent reports that a prefix block was stored in or evicted from an engine's
// cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    string `json:"block"`  // hex
	Stored   bool   `json:"stored"` // false if evicted
}

// CachePage is a page of cache events.
type CachePage struct {
	Events []CacheEvent `json:"events"`
	Upto   uint64       `json:"upto"`
}

// blockCache is an LRU cache of prefix blocks with its events.
type blockCache struct {
	blocks       *lru.Cache[uint64, struct{}]
	events       []timedEvent
	last         uint64
	lossInterval int // one event in this many is never published; 0 for none
}

type timedEvent struct {
	event CacheEvent
	at    time.Time
}

func newBlockCache(size, lossInterval int) *blockCache {
	blocks, err := lru.New[uint64, struct{}](max(1, size))
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	return &blockCache{blocks: blocks, lossInterval: lossInterval}
}

// access returns the number of leading blocks that were cached, and caches all.
func (c *blockCache) access(now time.Time, blocks []uint64) int {
	cached := 0
	for _, b := range blocks {
		if _, ok := c.blocks.Get(b); !ok {
			break
		}
		cached++
	}
	for _, b := range blocks[cached:] {
		c.store(now, b)
	}
	return cached
}

func (c *blockCache) store(now time.Time, block uint64) {
	if c.blocks.Contains(block) {
		return
	}
	if oldest, _, ok := c.blocks.GetOldest(); ok && c.blocks.Add(block, struct{}{}) {
		c.recordEvent(now, oldest, false)
	} else if !ok {
		c.blocks.Add(block, struct{}{})
	}
	c.recordEvent(now, block, true)
}

func (c *blockCache) recordEvent(now time.Time, block uint64, stored bool) {
	c.last++
	if c.lossInterval > 0 && c.last%uint64(c.lossInterval) == 0 {
		return
	}
	event := CacheEvent{Sequence: c.last, Block: fmt.Sprintf("%016x", block), Stored: stored}
	c.events = append(c.events, timedEvent{event: event, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// page returns the events after a sequence number that are at least lag old.
func (c *blockCache) page(now time.Time, after uint64, lag time.Duration) CachePage {
	page := CachePage{Events: []CacheEvent{}, Upto: after}
	for _, e := range c.events {
		if e.event.Sequence <= after {
			continue
		}
		if now.Sub(e.at) < lag {
			break
		}
		page.Events = append(page.Events, e.event)
		page.Upto = e.event.Sequence
	}
	return page
}

func (c *blockCache) tokens() ident.Tokens {
	return ident.Tokens(c.blocks.Len() * BlockBytes / bytesPerToken)
}

// clear empties the cache without events, as a crash does.
func (c *blockCache) clear() {
	c.blocks.Purge()
}
