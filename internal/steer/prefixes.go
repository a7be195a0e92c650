package steer

import (
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// readLeast is the least number of shared tokens that is worth telling.
	minPrefixTokens ident.Tokens = 1000
	// readAgain is the time in which a read that was told is not told again:
	// longer than its way through all routers, so that none goes in circles.
	prefixTTL = 3 * time.Second
	// readsMost bounds the reads that are remembered for passing them on.
	maxPrefixEntries = 8192
)

// readKey names a shared beginning of prompts at an endpoint.
type prefixKey struct {
	endpoint ident.EndpointID
	hash     uint64
}

type prefixEntry struct {
	added  time.Time
	seq    uint64
	origin prefixOrigin
}

// direction tells where news came from.
type prefixOrigin int

const (
	originSubtree prefixOrigin = iota // this router, or those that follow it
	originParent                      // the router that this one follows
)

// reads passes on which shared parts of prompts endpoints were sent, so that
// all routers know where they are cached. It is safe for use by many goroutines.
type prefixExchange struct {
	lock    sync.Mutex
	seq     uint64
	entries map[prefixKey]prefixEntry
	handler func(ident.EndpointID, []uint64)
}

func newPrefixExchange() *prefixExchange {
	return &prefixExchange{entries: map[prefixKey]prefixEntry{}, handler: func(ident.EndpointID, []uint64) {}}
}

func (p *prefixExchange) setHandler(tell func(ident.EndpointID, []uint64)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.handler = tell
}

// add notes reads, and gives those that are new.
func (p *prefixExchange) add(now time.Time, from prefixOrigin, endpoint ident.EndpointID, chain []uint64) []uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	var fresh []uint64
	for _, hash := range chain {
		key := prefixKey{endpoint, hash}
		if old, known := p.entries[key]; known && now.Sub(old.added) < prefixTTL {
			continue
		}
		if len(p.entries) >= maxPrefixEntries {
			clear(p.entries)
		}
		p.seq++
		p.entries[key] = prefixEntry{added: now, seq: p.seq, origin: from}
		fresh = append(fresh, hash)
	}
	return fresh
}

// take takes in what another router told.
func (p *prefixExchange) receive(now time.Time, from prefixOrigin, read map[ident.EndpointID][]uint64) {
	p.lock.Lock()
	tell := p.handler
	p.lock.Unlock()
	for endpoint, chain := range read {
		if fresh := p.add(now, from, endpoint, chain); len(fresh) > 0 {
			tell(endpoint, fresh)
		}
	}
}

// since gives the reads noted after a mark that are to go up or down, and moves
// the mark on. What came from above does not go back there.
func (p *prefixExchange) since(now time.Time, up bool, mark *uint64) map[ident.EndpointID][]uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	var out map[ident.EndpointID][]uint64
	for key, n := range p.entries {
		switch {
		case now.Sub(n.added) >= prefixTTL:
			delete(p.entries, key)
		case n.seq > *mark && !(up && n.origin == originParent):
			if out == nil {
				out = map[ident.EndpointID][]uint64{}
			}
			out[key.endpoint] = append(out[key.endpoint], key.hash)
		}
	}
	*mark = p.seq
	return out
}

// Reads takes in that this router sent the shared parts of a prompt to an
// endpoint.
func (c *Controller) RecordPrefixes(now time.Time, endpoint ident.EndpointID, chain []uint64, parts []route.Part) {
	tokens := ident.Tokens(0)
	for _, p := range parts {
		tokens += p.Tokens
	}
	if tokens >= minPrefixTokens {
		c.prefixes.add(now, originSubtree, endpoint, chain)
	}
}
