package sess

import (
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Cache remembers the bindings of sessions at their home routers, the least
// recently used forgotten first. It may be used from several threads.
type Cache struct {
	entries *lru.Cache[place, Binding]
}

type place struct {
	session ident.SessionKey
	model   ident.ModelID
}

// NewCache gives a cache of at most size bindings.
func NewCache(size int) (*Cache, error) {
	entries, err := lru.New[place, Binding](size)
	if err != nil {
		return nil, fmt.Errorf("make session cache of %d bindings: %w", size, err)
	}
	return &Cache{entries: entries}, nil
}

// Get gives the remembered binding, or nil.
func (c *Cache) Get(session ident.SessionKey, model ident.ModelID) *Binding {
	b, ok := c.entries.Get(place{session: session, model: model})
	if !ok {
		return nil
	}
	return &b
}

// Put remembers a binding, unless a newer one of the session is known.
func (c *Cache) Put(binding Binding) {
	at := place{session: binding.Session, model: binding.Model}
	if known, ok := c.entries.Peek(at); ok {
		binding = *newer(&known, &binding)
	}
	c.entries.Add(at, binding)
}

// Len gives the number of bindings remembered.
func (c *Cache) Len() int {
	return c.entries.Len()
}
