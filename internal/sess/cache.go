package sess

import (
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Cache caches the bindings of sessions on their home routers with LRU eviction.
// It is safe for concurrent use.
type Cache struct {
	entries *lru.Cache[cacheKey, Binding]
}

type cacheKey struct {
	session ident.SessionKey
	model   ident.ModelID
}

// NewCache returns a cache of at most size bindings, or an error if size is not
// positive.
func NewCache(size int) (*Cache, error) {
	entries, err := lru.New[cacheKey, Binding](size)
	if err != nil {
		return nil, fmt.Errorf("create session cache of %d bindings: %w", size, err)
	}
	return &Cache{entries: entries}, nil
}

// Get returns the cached binding, or nil.
func (c *Cache) Get(session ident.SessionKey, model ident.ModelID) *Binding {
	b, ok := c.entries.Get(cacheKey{session: session, model: model})
	if !ok {
		return nil
	}
	return &b
}

// Put caches a binding, unless a newer one of the session is cached.
func (c *Cache) Put(binding Binding) {
	key := cacheKey{session: binding.Session, model: binding.Model}
	if cached, ok := c.entries.Peek(key); ok {
		binding = *latest(&cached, &binding)
	}
	c.entries.Add(key, binding)
}

// Len returns the number of cached bindings.
func (c *Cache) Len() int {
	return c.entries.Len()
}
