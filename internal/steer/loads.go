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
	loadTTL = 1500 * time.Millisecond
	// loadEvery is the pause between reports of load: a fraction of the time
	// that an engine reads a long prompt.
	loadInterval = 60 * time.Millisecond
	// loadEach is what each endpoint adds to that pause, so that the bytes that
	// a router sends and hears do not grow with their number.
	loadIntervalPerEndpoint = 600 * time.Microsecond
	// loadDepth is how many routers may add to a sum one after the other: a
	// second reader, and a first one that is cut off from the store and follows
	// it. What went through more goes in circles.
	maxLoadHops = 2
)

// loads adds up what all routers have sent to each endpoint and what has not
// answered yet. Each router passes the sum of its own and its followers' to the
// one it follows, and the total comes back the same way.
type loadAggregator struct {
	lock      sync.Mutex
	local     func() route.Waiting
	followers map[ident.RouterID]loadReport
	parent    ident.RouterID // that is followed, "" for none
	localSent route.Waiting  // own part of the sum last passed on
	total     route.Waiting
	totalTime time.Time // of total
}

type loadReport struct {
	pending  route.Waiting
	hops     int
	received time.Time
}

func newLoadAggregator() *loadAggregator {
	return &loadAggregator{local: func() route.Waiting { return nil }, followers: map[ident.RouterID]loadReport{}}
}

// follow notes which router is followed.
func (l *loadAggregator) setParent(above ident.RouterID) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.parent = above
}

// hear takes in the sum of a follower and those who follow it.
func (l *loadAggregator) setFollowerLoad(now time.Time, from ident.RouterID, load *feed.Load) {
	if from == "" || load.Hops > maxLoadHops {
		return
	}
	waiting := decodeLoad(load)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.followers[from] = loadReport{pending: waiting, hops: load.Hops, received: now}
}

// circled tells whether the router that is followed follows this one. Each then
// knows half of the load, which is better than none.
func (l *loadAggregator) inCycle(now time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	r, ok := l.followers[l.parent]
	return ok && now.Sub(r.received) <= loadTTL
}

// sum gives this router's own work and that of its followers, and how many
// routers have added to it. Routers may follow each other for a while: what
// comes from the one that is followed was this router's own.
func (l *loadAggregator) subtreeSum(now time.Time) (route.Waiting, int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.localSent = l.local()
	sum := make(route.Waiting, len(l.localSent))
	addAll(sum, l.localSent)
	depth := 0
	for from, r := range l.followers {
		switch {
		case now.Sub(r.received) > loadTTL:
			delete(l.followers, from)
		case from != l.parent:
			addAll(sum, r.pending)
			depth = max(depth, r.hops+1)
		}
	}
	return sum, depth
}

func addAll(sum, more route.Waiting) {
	for id, piles := range more {
		for model, p := range piles {
			sum.Add(id, model, p)
		}
	}
}

// setTotal takes in the work of all routers.
func (l *loadAggregator) setTotal(now time.Time, total route.Waiting) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.total, l.totalTime = total, now
}

// getTotal gives the work of all routers, as far as it is known.
func (l *loadAggregator) getTotal(now time.Time) route.Waiting {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now.Sub(l.totalTime) > loadTTL {
		return nil
	}
	return l.total
}

// others gives what other routers have sent to an endpoint. It shrinks as the
// endpoint works on it.
func (l *loadAggregator) remote(now time.Time, id ident.EndpointID) route.Piles {
	l.lock.Lock()
	defer l.lock.Unlock()
	age := now.Sub(l.totalTime)
	if age > loadTTL || len(l.total[id]) == 0 {
		return nil
	}
	left := maps.Clone(l.total[id])
	for model, p := range l.localSent[id] {
		left[model] = left[model].Minus(p)
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
func (c *Controller) RemoteWork(now time.Time, id ident.EndpointID) route.Piles {
	return c.loads.remote(now, id)
}

// Share sets how this router's own waiting work is measured, and who is told
// which shared parts of prompts other routers have sent to an endpoint.
func (c *Controller) SetLoadHooks(own func() route.Waiting, heard func(ident.EndpointID, []uint64)) {
	c.loads.lock.Lock()
	c.loads.local = own
	c.loads.lock.Unlock()
	c.prefixes.setHandler(heard)
}

// loadPause is the pause between reports of load.
func (c *Controller) loadReportInterval() time.Duration {
	return loadInterval + time.Duration(c.View().Count)*loadIntervalPerEndpoint
}

// spreadLoad tells followers of the load, until ctx ends.
func (c *Controller) broadcastLoad(ctx context.Context) {
	var mark uint64
	var idle bool
	for ctx.Err() == nil {
		sleep(ctx, c.loadReportInterval())
		if !c.hub.HasFollowers() {
			continue
		}
		now := c.clock()
		total := c.loads.getTotal(now)
		if c.isRoot.Load() || c.loads.inCycle(now) {
			total, _ = c.loads.subtreeSum(now)
			c.loads.setTotal(now, total)
		}
		load := encodeLoad(total, c.prefixes.since(now, false, &mark))
		if load == nil && idle {
			continue
		}
		idle = load == nil
		if idle {
			load = &feed.Load{}
		}
		if err := c.hub.Publish(feed.Frame{Load: load}); err != nil {
			c.log.Error("followers not told", zap.Error(err))
		}
	}
}

// reportLoad tells the router that is followed of the load, until ctx ends or
// the link breaks.
func (c *Controller) reportLoad(ctx context.Context, stream *feed.Stream) {
	var mark uint64
	var idle bool
	for ctx.Err() == nil {
		sleep(ctx, c.loadReportInterval())
		now := c.clock()
		sum, depth := c.loads.subtreeSum(now)
		load := encodeLoad(sum, c.prefixes.since(now, true, &mark))
		if load == nil && idle {
			continue
		}
		idle = load == nil
		if idle {
			load = &feed.Load{}
		}
		load.Hops = depth
		if stream.Send(feed.Frame{From: c.settings.Router, Load: load}) != nil {
			return // the receiver sees that the link is broken
		}
	}
}

// packLoad gives the load as it is passed on, nil if there is none.
func encodeLoad(waiting route.Waiting, read map[ident.EndpointID][]uint64) *feed.Load {
	if len(waiting) == 0 && len(read) == 0 {
		return nil
	}
	load := &feed.Load{Prefixes: read, Pending: make(map[ident.EndpointID][]int64, len(waiting))}
	places := map[ident.ModelID]int64{}
	for id, piles := range waiting {
		for model, p := range piles {
			place, known := places[model]
			if !known {
				place = int64(len(load.Models))
				places[model] = place
				load.Models = append(load.Models, model)
			}
			load.Pending[id] = append(load.Pending[id], place, int64(p.Count), p.Work.Milliseconds())
		}
	}
	return load
}

// unpackLoad reads what packLoad gave. Entries that make no sense are left out.
func decodeLoad(load *feed.Load) route.Waiting {
	waiting := make(route.Waiting, len(load.Pending))
	for id, numbers := range load.Pending {
		for ; len(numbers) >= 3; numbers = numbers[3:] {
			if place := numbers[0]; place >= 0 && place < int64(len(load.Models)) {
				waiting.Add(id, load.Models[place], route.Pile{
					Count: int(numbers[1]), Work: time.Duration(numbers[2]) * time.Millisecond,
				})
			}
		}
	}
	return waiting
}
