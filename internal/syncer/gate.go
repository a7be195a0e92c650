package syncer

import (
	"context"
	"sync"
)

// gate blocks goroutines in wait while it is closed.
type gate struct {
	lock   sync.Mutex
	open   bool
	opened chan struct{} // closed when the gate opens
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

// set opens or closes the gate, and reports whether its state changed.
func (g *gate) set(open bool) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.open == open {
		return false
	}
	g.open = open
	if open {
		close(g.opened)
	} else {
		g.opened = make(chan struct{})
	}
	return true
}

// isOpen reports whether the gate is open.
func (g *gate) isOpen() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.open
}

// wait blocks until the gate is open or ctx is done, and reports whether the
// gate opened before ctx was done.
func (g *gate) wait(ctx context.Context) bool {
	g.lock.Lock()
	opened := g.opened
	g.lock.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-opened:
		return ctx.Err() == nil
	}
}
