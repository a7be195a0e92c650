package steer

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// loadLifetime is how long what another router told of its load is used.
	loadLifetime = 1500 * time.Millisecond
	// loadEvery is the pause between reports of load: a fraction of the time
	// that an engine reads a long prompt.
	loadEvery = 60 * time.Millisecond
	// loadEach is what each endpoint adds to that pause, so that the bytes that
	// a router sends and hears do not grow with their number.
	loadEach = 600 * time.Microsecond
	// loadDepth is how many routers may add to a sum one after the other: a
	// second reader, and a first one that is cut off from the store and follows
	// it. What went through more goes in circles.
	loadDepth = 2
)

// loads adds up what all routers have sent to each endpoint and what has not
// answered yet. Each router passes the sum of its own and its followers' to the
// one it follows, and the total comes back the same way.
type loads struct {
	lock  sync.Mutex
	own   func() route.EndpointBacklogs
	heard map[ident.RouterID]loadReport
	above ident.RouterID         // that is followed, "" for none
	sent  route.EndpointBacklogs // own part of the sum last passed on
	total route.EndpointBacklogs
	at    time.Time // of total
}

type loadReport struct {
	waiting route.EndpointBacklogs
	depth   int
	at      time.Time
}

func newLoads() *loads {
	return &loads{own: func() route.EndpointBacklogs { return nil }, heard: map[ident.RouterID]loadReport{}}
}

// follow notes which router is followed.
func (l *loads) follow(above ident.RouterID) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.above = above
}

// hear takes in the sum of a follower and those who follow it.
func (l *loads) hear(now time.Time, from ident.RouterID, load *feed.Load) {
	if from == "" || load.Depth > loadDepth {
		return
	}
	waiting := unpackLoad(load)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.heard[from] = loadReport{waiting: waiting, depth: load.Depth, at: now}
}

// circled tells whether the router that is followed follows this one. Each then
// knows half of the load, which is better than none.
func (l *loads) circled(now time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	r, ok := l.heard[l.above]
	return ok && now.Sub(r.at) <= loadLifetime
}

// sum gives this router's own work and that of its followers, and how many
// routers have added to it. Routers may follow each other for a while: what
// comes from the one that is followed was this router's own.
func (l *loads) sum(now time.Time) (route.EndpointBacklogs, int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.sent = l.own()
	sum := make(route.EndpointBacklogs, len(l.sent))
	addAll(sum, l.sent)
	depth := 0
	for from, r := range l.heard {
		switch {
		case now.Sub(r.at) > loadLifetime:
			delete(l.heard, from)
		case from != l.above:
			addAll(sum, r.waiting)
			depth = max(depth, r.depth+1)
		}
	}
	return sum, depth
}

func addAll(sum, more route.EndpointBacklogs) {
	for id, piles := range more {
		for model, p := range piles {
			sum.Add(id, model, p)
		}
	}
}

// setTotal takes in the work of all routers.
func (l *loads) setTotal(now time.Time, total route.EndpointBacklogs) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.total, l.at = total, now
}

// getTotal gives the work of all routers, as far as it is known.
func (l *loads) getTotal(now time.Time) route.EndpointBacklogs {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now.Sub(l.at) > loadLifetime {
		return nil
	}
	return l.total
}

// others gives what other routers have sent to an endpoint. It shrinks as the
// endpoint works on it.
func (l *loads) others(now time.Time, id ident.EndpointID) route.ModelBacklogs {
	l.lock.Lock()
	defer l.lock.Unlock()
	age := now.Sub(l.at)
	if age > loadLifetime || len(l.total[id]) == 0 {
		return nil
	}
	left := maps.Clone(l.total[id])
	for model, p := range l.sent[id] {
		left[model] = left[model].Sub(p)
	}
	all := left.Work()
	if all <= age {
		return nil
	}
	part := 1 - float64(age)/float64(all)
	for model, p := range left {
		p.Work = time.Duration(float64(p.Work) * part)
		left[model] = p
	}
	return left
}

// Others gives what other routers have sent to an endpoint and what has not
// answered yet.
func (t *Steer) Others(now time.Time, id ident.EndpointID) route.ModelBacklogs {
	return t.loads.others(now, id)
}

// Share sets how this router's own waiting work is measured, and who is told
// which shared parts of prompts other routers have sent to an endpoint.
func (t *Steer) Share(own func() route.EndpointBacklogs, heard func(ident.EndpointID, []uint64)) {
	t.loads.lock.Lock()
	t.loads.own = own
	t.loads.lock.Unlock()
	t.reads.listen(heard)
}

// loadPause is the pause between reports of load.
func (t *Steer) loadPause() time.Duration {
	return loadEvery + time.Duration(t.View().EndpointCount)*loadEach
}

// spreadLoad tells followers of the load, until ctx ends.
func (t *Steer) spreadLoad(ctx context.Context) {
	var mark uint64
	var idle bool
	for ctx.Err() == nil {
		sleep(ctx, t.loadPause())
		if !t.hub.Followed() {
			continue
		}
		now := t.clock()
		total := t.loads.getTotal(now)
		if t.first.Load() || t.loads.circled(now) {
			total, _ = t.loads.sum(now)
			t.loads.setTotal(now, total)
		}
		load := packLoad(total, t.reads.since(now, false, &mark))
		if load == nil && idle {
			continue
		}
		idle = load == nil
		if idle {
			load = &feed.Load{}
		}
		if err := t.hub.Publish(feed.Frame{Load: load}); err != nil {
			t.log.Error("followers not told", zap.Error(err))
		}
	}
}

// reportLoad tells the router that is followed of the load, until ctx ends or
// the link breaks.
func (t *Steer) reportLoad(ctx context.Context, stream *feed.Link) {
	var mark uint64
	var idle bool
	for ctx.Err() == nil {
		sleep(ctx, t.loadPause())
		now := t.clock()
		sum, depth := t.loads.sum(now)
		load := packLoad(sum, t.reads.since(now, true, &mark))
		if load == nil && idle {
			continue
		}
		idle = load == nil
		if idle {
			load = &feed.Load{}
		}
		load.Depth = depth
		if stream.Send(feed.Frame{From: t.settings.Router, Load: load}) != nil {
			return // the receiver sees that the link is broken
		}
	}
}

// packLoad gives the load as it is passed on, nil if there is none.
func packLoad(waiting route.EndpointBacklogs, read map[ident.EndpointID][]uint64) *feed.Load {
	if len(waiting) == 0 && len(read) == 0 {
		return nil
	}
	load := &feed.Load{Read: read, Waiting: make(map[ident.EndpointID][]int64, len(waiting))}
	places := map[ident.ModelID]int64{}
	for id, piles := range waiting {
		for model, p := range piles {
			place, known := places[model]
			if !known {
				place = int64(len(load.Models))
				places[model] = place
				load.Models = append(load.Models, model)
			}
			load.Waiting[id] = append(load.Waiting[id], place, int64(p.Count), p.Work.Milliseconds())
		}
	}
	return load
}

// unpackLoad reads what packLoad gave. Entries that make no sense are left out.
func unpackLoad(load *feed.Load) route.EndpointBacklogs {
	waiting := make(route.EndpointBacklogs, len(load.Waiting))
	for id, numbers := range load.Waiting {
		for ; len(numbers) >= 3; numbers = numbers[3:] {
			if place := numbers[0]; place >= 0 && place < int64(len(load.Models)) {
				waiting.Add(id, load.Models[place], route.Backlog{
					Count: int(numbers[1]), Work: time.Duration(numbers[2]) * time.Millisecond,
				})
			}
		}
	}
	return waiting
}
