package syncer

import (
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// minPrefixTokens is the length of the shortest prefix that is exchanged.
	minPrefixTokens ident.Tokens = 1000
	// prefixTTL is the time during which a known prefix is not forwarded again.
	// It is longer than a prefix takes to reach all routers, so that none is
	// forwarded in a cycle.
	prefixTTL = 3 * time.Second
	// maxPrefixEntries bounds the prefixes held for forwarding.
	maxPrefixEntries = 8192
)

// prefixKey identifies a prompt prefix at an endpoint.
type prefixKey struct {
	endpoint ident.EndpointID
	hash     uint64
}

type prefixEntry struct {
	added  time.Time
	seq    uint64
	origin prefixOrigin
}

// prefixOrigin is the direction from which a prefix was received.
type prefixOrigin int

const (
	originSubtree prefixOrigin = iota // this router or its followers
	originParent                      // the parent router
)

// prefixExchange forwards the hashes of prompt prefixes sent to endpoints, so
// that all routers know which endpoints have them cached. It is safe for
// concurrent use.
type prefixExchange struct {
	lock    sync.Mutex
	seq     uint64
	entries map[prefixKey]prefixEntry
	handler func(ident.EndpointID, []uint64)
}

func newPrefixExchange() *prefixExchange {
	return &prefixExchange{entries: map[prefixKey]prefixEntry{}, handler: func(ident.EndpointID, []uint64) {}}
}

func (p *prefixExchange) setHandler(handler func(ident.EndpointID, []uint64)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.handler = handler
}

// add records prefixes and returns those that were not known.
func (p *prefixExchange) add(now time.Time, from prefixOrigin, endpoint ident.EndpointID, hashes []uint64) []uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	var fresh []uint64
	for _, hash := range hashes {
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

// receive records prefixes sent by another router, and calls the handler with
// those that were not known.
func (p *prefixExchange) receive(now time.Time, from prefixOrigin, prefixes map[ident.EndpointID][]uint64) {
	p.lock.Lock()
	handler := p.handler
	p.lock.Unlock()
	for endpoint, hashes := range prefixes {
		if fresh := p.add(now, from, endpoint, hashes); len(fresh) > 0 {
			handler(endpoint, fresh)
		}
	}
}

// since returns the prefixes recorded after cursor for the parent, if toParent is
// set, or for followers, and advances cursor. Prefixes received from the parent
// are not sent back to it. It also removes expired prefixes.
func (p *prefixExchange) since(now time.Time, toParent bool, cursor *uint64) map[ident.EndpointID][]uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	var out map[ident.EndpointID][]uint64
	for key, x := range p.entries {
		switch {
		case now.Sub(x.added) >= prefixTTL:
			delete(p.entries, key)
		case x.seq > *cursor && !(toParent && x.origin == originParent):
			if out == nil {
				out = map[ident.EndpointID][]uint64{}
			}
			out[key.endpoint] = append(out[key.endpoint], key.hash)
		}
	}
	*cursor = p.seq
	return out
}

// RecordPrefixes records that this router sent a prompt with the given prefix
// parts to an endpoint. Short prefixes are ignored.
func (c *Controller) RecordPrefixes(now time.Time, endpoint ident.EndpointID, hashes []uint64, parts []route.PromptPart) {
	tokens := ident.Tokens(0)
	for _, p := range parts {
		tokens += p.Tokens
	}
	if tokens >= minPrefixTokens {
		c.prefixes.add(now, originSubtree, endpoint, hashes)
	}
}
