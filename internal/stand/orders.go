package stand

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderRole   OrderKind = "role"
	OrderUnload OrderKind = "unload"
)

var (
	errStaleFence   = errors.New("order carries an old fencing number")
	errInvalidOrder = errors.New("order is not understood")
)

// Order is a desired state sent to an engine.
type Order struct {
	Kind    OrderKind     `json:"kind"`
	Release ident.Release `json:"release,omitzero"`
	Role    string        `json:"role"`
	Fence   ident.Term    `json:"fence"`
}

// Order applies an order. An engine that checks fencing tokens rejects an order with
// a lower token than that of the last accepted one.
func (e *Engine) Order(now time.Time, order Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down(now) {
		return errDown
	}
	if e.spec.ChecksFence && order.Fence < e.order.Fence {
		return fmt.Errorf("fence %d is below %d: %w", order.Fence, e.order.Fence, errStaleFence)
	}
	switch order.Kind {
	case OrderLoad:
		e.loadRelease(now, order.Release)
	case OrderUnload:
		e.unloadRelease(order.Release)
	case OrderRole:
	default:
		return fmt.Errorf("kind %q is not load, role or unload: %w", order.Kind, errInvalidOrder)
	}
	e.order = order
	e.record.Orders = append(e.record.Orders, order)
	return nil
}

// LastOrder returns the last accepted order, or the zero value if there is none.
func (e *Engine) LastOrder() Order {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.order
}

// loadRelease makes a release the first of those loaded. If it was not loaded, a
// cold start begins at the end of EngineSpec.ReleaseLoadTime.
func (e *Engine) loadRelease(now time.Time, release ident.Release) {
	if !e.loaded(release) {
		e.coldSince = now.Add(e.spec.ReleaseLoadTime)
		e.completeRuns = 0
	}
	e.unloadRelease(release)
	e.releases = append([]ident.Release{release}, e.releases...)
}

func (e *Engine) unloadRelease(release ident.Release) {
	kept := []ident.Release{}
	for _, r := range e.releases {
		if r != release {
			kept = append(kept, r)
		}
	}
	e.releases = kept
}
