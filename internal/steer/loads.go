package steer

import (
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// loadLifetime is how long what another router told of its load is used.
const loadLifetime = 1500 * time.Millisecond

// pending is the work that waits at endpoints for a first event, in
// milliseconds.
type pending = map[ident.EndpointID]int64

// loads adds up the work that all routers have sent to each endpoint and that
// has not answered yet. Each router passes the sum of its own and its
// followers' to the one it follows, and the total comes back the same way.
type loads struct {
	lock  sync.Mutex
	own   func() pending
	heard map[ident.RouterID]loadReport
	sent  pending // own part of the sum last passed on
	total pending
	at    time.Time // of total
}

type loadReport struct {
	work pending
	at   time.Time
}

func newLoads() *loads {
	return &loads{own: func() pending { return nil }, heard: map[ident.RouterID]loadReport{}}
}

// hear takes in the sum of a follower and those who follow it.
func (l *loads) hear(now time.Time, from ident.RouterID, work pending) {
	if from == "" {
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.heard[from] = loadReport{work: work, at: now}
}

// sum gives this router's own work and that of its followers.
func (l *loads) sum(now time.Time) pending {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.sent = l.own()
	sum := make(pending, len(l.sent))
	for id, ms := range l.sent {
		sum[id] += ms
	}
	for from, r := range l.heard {
		if now.Sub(r.at) > loadLifetime {
			delete(l.heard, from)
			continue
		}
		for id, ms := range r.work {
			sum[id] += ms
		}
	}
	return sum
}

// setTotal takes in the work of all routers.
func (l *loads) setTotal(now time.Time, total pending) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.total, l.at = total, now
}

// getTotal gives the work of all routers, as far as it is known.
func (l *loads) getTotal(now time.Time) pending {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now.Sub(l.at) > loadLifetime {
		return nil
	}
	return l.total
}

// others gives the work that other routers have sent to an endpoint. It shrinks
// as the endpoint works on it.
func (l *loads) others(now time.Time, id ident.EndpointID) time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	age := now.Sub(l.at)
	if age > loadLifetime {
		return 0
	}
	return max(0, time.Duration(l.total[id]-l.sent[id])*time.Millisecond-age)
}

// Others gives the work that other routers have sent to an endpoint and that
// has not answered yet.
func (t *Steer) Others(now time.Time, id ident.EndpointID) time.Duration {
	return t.loads.others(now, id)
}

// Measure sets how this router's own waiting work is measured.
func (t *Steer) Measure(own func() map[ident.EndpointID]int64) {
	t.loads.lock.Lock()
	defer t.loads.lock.Unlock()
	t.loads.own = own
}
