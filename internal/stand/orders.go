package stand

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// OrderKind says what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderRole   OrderKind = "role"
	OrderUnload OrderKind = "unload"
)

var (
	errFenced = errors.New("order carries an old fencing number")
	errOrder  = errors.New("order is not understood")
)

// Order is a wanted state that an engine is told.
type Order struct {
	Kind    OrderKind     `json:"kind"`
	Release ident.Release `json:"release,omitzero"`
	Role    string        `json:"role"`
	Fence   ident.Term    `json:"fence"`
}

// Order gives an engine an order. Only an engine that checks fencing numbers
// refuses an old one.
func (e *Engine) Order(now time.Time, order Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down(now) {
		return errDown
	}
	if e.spec.ChecksFence && order.Fence < e.order.Fence {
		return fmt.Errorf("fence %d is below %d: %w", order.Fence, e.order.Fence, errFenced)
	}
	switch order.Kind {
	case OrderLoad:
		e.load(now, order.Release)
	case OrderUnload:
		e.unload(order.Release)
	case OrderRole:
	default:
		return fmt.Errorf("kind %q is not load, role or unload: %w", order.Kind, errOrder)
	}
	e.order = order
	e.record.Orders = append(e.record.Orders, order)
	return nil
}

// LastOrder gives the order last accepted, the zero value if none was.
func (e *Engine) LastOrder() Order {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.order
}

// load puts a release first and leaves the engine cold for as long as loading
// takes, unless it was loaded.
func (e *Engine) load(now time.Time, release ident.Release) {
	if !e.loaded(release) {
		e.booted = now.Add(e.spec.ReleaseLoadTime)
		e.whole = 0
	}
	e.unload(release)
	e.releases = append([]ident.Release{release}, e.releases...)
}

func (e *Engine) unload(release ident.Release) {
	kept := []ident.Release{}
	for _, r := range e.releases {
		if r != release {
			kept = append(kept, r)
		}
	}
	e.releases = kept
}
