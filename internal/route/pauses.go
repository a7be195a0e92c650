package route

import (
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Pauses holds the endpoints that asked this router for a pause when they turned a
// request away. It answers a load under which endpoints shed work: they get nothing
// from this router until the pause is over. It is safe for concurrent use.
type Pauses struct {
	lock  sync.Mutex
	until map[ident.EndpointID]pause
}

type pause struct {
	startedMillis int64 // of the endpoint's incarnation
	until         time.Time
}

// NewPauses returns Pauses without an endpoint.
func NewPauses() *Pauses { return &Pauses{until: map[ident.EndpointID]pause{}} }

// Pause records that an incarnation of an endpoint wants no request for a time. It
// never shortens a pause.
func (p *Pauses) Pause(now time.Time, id ident.EndpointID, startedMillis int64, wait time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	x := p.until[id]
	if x.startedMillis == startedMillis && x.until.After(now.Add(wait)) {
		return
	}
	p.until[id] = pause{startedMillis: startedMillis, until: now.Add(wait)}
}

// Remaining returns the time for which an incarnation of an endpoint wants no
// request, 0 if there is none.
func (p *Pauses) Remaining(now time.Time, id ident.EndpointID, startedMillis int64) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	x := p.until[id]
	if x.startedMillis != startedMillis {
		return 0
	}
	return max(0, x.until.Sub(now))
}

// Sweep drops pauses that are over.
func (p *Pauses) Sweep(now time.Time) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for id, x := range p.until {
		if !now.Before(x.until) {
			delete(p.until, id)
		}
	}
}
