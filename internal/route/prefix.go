package route

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// BlockBytes is the length of the prompt text of one block.
	BlockBytes = 256
	// BlockTokens is the number of tokens that a cached block saves.
	BlockTokens ident.Tokens = BlockBytes / bytesPerToken

	bytesPerToken = 4
	maxBlocks     = 512 // most blocks of one prompt
)

// HashBlocks returns a hash for each whole block of the prompt's first maxBlocks
// blocks. Each hash covers all the text up to the block's end, so equal hashes
// mean equal prefixes.
func HashBlocks(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	blocks := make([]uint64, n)
	h := xxhash.New()
	for i := range blocks {
		_, _ = h.Write(prompt[i*BlockBytes : (i+1)*BlockBytes]) // never fails
		blocks[i] = h.Sum64()
	}
	return blocks
}

// CacheEvent reports that an endpoint stored or evicted a block.
type CacheEvent struct {
	Sequence uint64 // increases with each event of the endpoint
	Block    uint64
	Stored   bool // false if evicted
}

// PrefixIndex is an approximate index of the prompt prefixes that endpoints have
// cached. Late or lost events make it wrong for a while, which costs latency but
// not correctness. It is bounded and safe for concurrent use.
type PrefixIndex struct {
	lock    sync.Mutex
	size    int // most blocks for each endpoint
	caches  map[ident.EndpointID]*cache
	bootIDs map[ident.EndpointID]string
	applied map[ident.EndpointID]uint64 // sequence of the last event applied
}

type cache = lru.Cache[uint64, struct{}]

// NewPrefixIndex returns an empty index that keeps up to size blocks for each
// endpoint. It fails if size is not positive.
func NewPrefixIndex(size int) (*PrefixIndex, error) {
	if size <= 0 {
		return nil, fmt.Errorf("prefix index size %d is not positive", size)
	}
	return &PrefixIndex{
		size:    size,
		caches:  make(map[ident.EndpointID]*cache),
		bootIDs: make(map[ident.EndpointID]string),
		applied: make(map[ident.EndpointID]uint64),
	}, nil
}

// RecordSent records that a prompt was sent to the endpoint, whose blocks count
// as cached before any event reports them.
func (p *PrefixIndex) RecordSent(endpoint ident.EndpointID, blocks []uint64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	c := p.cache(endpoint)
	for i := len(blocks) - 1; i >= 0; i-- {
		c.Add(blocks[i], struct{}{})
	}
}

// Apply applies an endpoint's cache events. Events may come late, duplicated and
// with gaps; events not newer than the last one applied are skipped.
func (p *PrefixIndex) Apply(endpoint ident.EndpointID, events []CacheEvent) {
	p.lock.Lock()
	defer p.lock.Unlock()
	c := p.cache(endpoint)
	for _, e := range events {
		if e.Sequence <= p.applied[endpoint] {
			continue
		}
		p.applied[endpoint] = e.Sequence
		if e.Stored {
			c.Add(e.Block, struct{}{})
			continue
		}
		c.Remove(e.Block)
	}
}

// ObserveBoot removes an endpoint's blocks if its boot id differs from the last
// one observed.
func (p *PrefixIndex) ObserveBoot(endpoint ident.EndpointID, boot string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.bootIDs[endpoint] == boot {
		return
	}
	p.bootIDs[endpoint] = boot
	delete(p.caches, endpoint)
	delete(p.applied, endpoint)
}

// Retain removes all endpoints for which keep is false.
func (p *PrefixIndex) Retain(keep func(ident.EndpointID) bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for id := range p.caches {
		if !keep(id) {
			delete(p.caches, id)
			delete(p.applied, id)
			delete(p.bootIDs, id)
		}
	}
}

// Cached returns the number of leading blocks that the endpoint has cached. A
// gap of one block is attributed to a lost event and counted as cached.
func (p *PrefixIndex) Cached(endpoint ident.EndpointID, blocks []uint64) int {
	if len(blocks) == 0 {
		return 0
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	c := p.caches[endpoint]
	if c == nil {
		return 0
	}
	n, missing := 0, 0
	for i, b := range blocks {
		if c.Contains(b) {
			n, missing = i+1, 0
			continue
		}
		if missing++; missing > 1 {
			break
		}
	}
	return n
}

func (p *PrefixIndex) cache(endpoint ident.EndpointID) *cache {
	c := p.caches[endpoint]
	if c == nil {
		c, _ = lru.New[uint64, struct{}](p.size) // fails only if size is not positive
		p.caches[endpoint] = c
	}
	return c
}
