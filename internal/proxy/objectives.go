package proxy

import (
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// objectiveMemory is the number of latest requests over which a service's mean
	// objective is taken.
	objectiveMemory = 256
	// maxObjectiveServices bounds the services whose mean objective is known. All are
	// forgotten when it is reached.
	maxObjectiveServices = 256
)

// Objectives tells the mean objective of the requests that share a service's engines.
// An engine's time that one request takes delays all of them, whatever its own objective
// is. It is safe for concurrent use.
type Objectives struct {
	lock     sync.Mutex
	services map[ident.ServiceID]*meanObjective
}

type meanObjective struct{ sum, count float64 }

// NewObjectives returns an Objectives that has seen no request.
func NewObjectives() *Objectives { return &Objectives{services: map[ident.ServiceID]*meanObjective{}} }

// Mean records a request's objective and returns the mean over its service, 0 if the
// request has none.
func (o *Objectives) Mean(service ident.ServiceID, objective time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	m := o.services[service]
	if m == nil {
		if len(o.services) >= maxObjectiveServices {
			clear(o.services)
		}
		m = &meanObjective{}
		o.services[service] = m
	}
	if m.count >= objectiveMemory {
		m.sum -= m.sum / m.count
		m.count--
	}
	m.sum += objective.Seconds()
	m.count++
	return time.Duration(m.sum / m.count * float64(time.Second))
}
