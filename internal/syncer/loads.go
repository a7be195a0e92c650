package syncer

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
	// loadTTL is how long a load report from another router is used.
	loadTTL = 1500 * time.Millisecond
	// loadInterval is the base pause between load reports. It is a fraction of
	// the time that an engine needs for the prefill of a long prompt.
	loadInterval = 60 * time.Millisecond
	// loadIntervalPerEndpoint is added to that pause for each endpoint, so that
	// the bandwidth of a router does not grow with the number of endpoints.
	loadIntervalPerEndpoint = 600 * time.Microsecond
	// loadIntervalPerRouter is added for each router, so that what a reader sends to its
	// followers grows more slowly than their number. The more routers there are, the less
	// of the load is told in one report.
	loadIntervalPerRouter = 600 * time.Microsecond
	// maxLoadHops bounds the routers that may aggregate a sum in sequence: an
	// elected reader, and the highest ranked reader if it is cut off from the
	// store and follows the former. A report with more hops travels in a cycle.
	maxLoadHops = 2
)

// loadAggregator sums the unanswered work that all routers have sent to each
// endpoint. Each router reports the sum of its own work and that of its
// followers to its parent, and receives the total on the same stream.
type loadAggregator struct {
	lock      sync.Mutex
	local     func() route.EndpointBacklogs
	followers map[ident.RouterID]loadReport
	parent    ident.RouterID         // "" for none
	localSent route.EndpointBacklogs // local part of the last sum
	total     route.EndpointBacklogs
	totalTime time.Time // when total was set
}

type loadReport struct {
	pending  route.EndpointBacklogs
	hops     int
	received time.Time
}

func newLoadAggregator() *loadAggregator {
	return &loadAggregator{local: func() route.EndpointBacklogs { return nil }, followers: map[ident.RouterID]loadReport{}}
}

// setParent records which router is followed.
func (l *loadAggregator) setParent(parent ident.RouterID) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.parent = parent
}

// setFollowerLoad records the sum reported by a follower for its subtree.
func (l *loadAggregator) setFollowerLoad(now time.Time, from ident.RouterID, load *feed.Load) {
	if from == "" || load.Hops > maxLoadHops {
		return
	}
	pending := decodeLoad(load)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.followers[from] = loadReport{pending: pending, hops: load.Hops, received: now}
}

// inCycle reports whether the parent also follows this router. Each of the two
// then knows only its own half of the load, which is better than none.
func (l *loadAggregator) inCycle(now time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	r, ok := l.followers[l.parent]
	return ok && now.Sub(r.received) <= loadTTL
}

// subtreeSum returns the work of this router and its followers, and the number
// of hops that it has taken. Reports from the parent are left out: while two
// routers follow each other, they contain this router's own work.
func (l *loadAggregator) subtreeSum(now time.Time) (route.EndpointBacklogs, int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.localSent = l.local()
	sum := make(route.EndpointBacklogs, len(l.localSent))
	addAll(sum, l.localSent)
	hops := 0
	for from, r := range l.followers {
		switch {
		case now.Sub(r.received) > loadTTL:
			delete(l.followers, from)
		case from != l.parent:
			addAll(sum, r.pending)
			hops = max(hops, r.hops+1)
		}
	}
	return sum, hops
}

func addAll(sum, other route.EndpointBacklogs) {
	for id, models := range other {
		for model, p := range models {
			sum.Add(id, model, p)
		}
	}
}

// setTotal records the work of all routers.
func (l *loadAggregator) setTotal(now time.Time, total route.EndpointBacklogs) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.total, l.totalTime = total, now
}

// getTotal returns the work of all routers, or nil if it is unknown or expired.
func (l *loadAggregator) getTotal(now time.Time) route.EndpointBacklogs {
	l.lock.Lock()
	defer l.lock.Unlock()
	if now.Sub(l.totalTime) > loadTTL {
		return nil
	}
	return l.total
}

// remote returns the work that other routers have sent to an endpoint, reduced
// by what the endpoint has completed since the total was received.
func (l *loadAggregator) remote(now time.Time, id ident.EndpointID) route.ModelBacklogs {
	l.lock.Lock()
	defer l.lock.Unlock()
	age := now.Sub(l.totalTime)
	if age > loadTTL || len(l.total[id]) == 0 {
		return nil
	}
	left := maps.Clone(l.total[id])
	for model, p := range l.localSent[id] {
		left[model] = left[model].Sub(p)
	}
	all := left.Work()
	if all <= age {
		return nil
	}
	share := 1 - float64(age)/float64(all)
	for model, p := range left {
		p.Work = time.Duration(float64(p.Work) * share)
		left[model] = p
	}
	return left
}

// RemoteWork returns the unanswered work that other routers have sent to an
// endpoint, by model.
func (c *Controller) RemoteWork(now time.Time, id ident.EndpointID) route.ModelBacklogs {
	return c.loads.remote(now, id)
}

// SetLoadHooks sets the function that returns this router's own pending work,
// and the one called with the hashes of prompt prefixes that other routers have
// sent to an endpoint.
func (c *Controller) SetLoadHooks(local func() route.EndpointBacklogs, onPrefixes func(ident.EndpointID, []uint64)) {
	c.loads.lock.Lock()
	c.loads.local = local
	c.loads.lock.Unlock()
	c.prefixes.setHandler(onPrefixes)
}

// loadReportInterval returns the pause between load reports.
func (c *Controller) loadReportInterval() time.Duration {
	return loadInterval + time.Duration(c.View().EndpointCount)*loadIntervalPerEndpoint +
		time.Duration(c.RouterCount())*loadIntervalPerRouter
}

// broadcastLoad sends the total load to followers, until ctx ends.
func (c *Controller) broadcastLoad(ctx context.Context) {
	var cursor uint64
	var idle bool
	var clock speedClock
	for ctx.Err() == nil {
		sleep(ctx, c.loadReportInterval())
		now := c.clock()
		debts := c.debtsToFollowers(now) // also those of followers that have all ended
		if !c.hub.HasFollowers() {
			continue
		}
		total := c.loads.getTotal(now)
		if c.isRoot.Load() || c.loads.inCycle(now) {
			total, _ = c.loads.subtreeSum(now)
			c.loads.setTotal(now, total)
		}
		load := encodeLoad(total, c.prefixes.since(now, false, &cursor))
		speeds := c.speedsToFollowers(now, &clock)
		if load == nil && idle && speeds == nil && debts == nil {
			continue
		}
		idle = load == nil && debts == nil
		if load == nil {
			load = &feed.Load{}
		}
		load.Speeds, load.Debts = speeds, debts
		if err := c.hub.Publish(feed.Frame{Load: load}); err != nil {
			c.log.Error("followers not told", zap.Error(err))
		}
	}
}

// reportLoad sends the load of this router and its followers to the parent,
// once that is followed and until ctx ends or the link breaks.
func (c *Controller) reportLoad(ctx context.Context, l *parentLink, stream *feed.Stream) {
	var cursor uint64
	var idle bool
	var clock speedClock
	for ctx.Err() == nil {
		sleep(ctx, c.loadReportInterval())
		if !l.adopted.Load() {
			continue // a load that two routers report would count twice
		}
		now := c.clock()
		sum, hops := c.loads.subtreeSum(now)
		load := encodeLoad(sum, c.prefixes.since(now, true, &cursor))
		var speeds map[ident.ModelID][]float64
		if clock.due(now) {
			speeds = encodeSpeeds(c.speeds.subtree(now))
		}
		uses, losses := c.repeats.subtree(now), c.repeats.losses(now)
		if load == nil && idle && speeds == nil && uses == nil && losses == nil {
			continue
		}
		idle = load == nil
		if idle {
			load = &feed.Load{}
		}
		load.Speeds, load.Uses, load.Losses = speeds, uses, losses
		load.Hops = hops
		if stream.Send(feed.Frame{From: c.settings.Router, Load: load}) != nil {
			return // receiveFrames reports the broken link
		}
	}
}

// encodeLoad returns the wire form of a load, or nil if there is none.
func encodeLoad(pending route.EndpointBacklogs, prefixes map[ident.EndpointID][]uint64) *feed.Load {
	if len(pending) == 0 && len(prefixes) == 0 {
		return nil
	}
	load := &feed.Load{Prefixes: prefixes, Pending: make(map[ident.EndpointID][]int64, len(pending))}
	indexes := map[ident.ModelID]int64{}
	for id, models := range pending {
		for model, p := range models {
			index, known := indexes[model]
			if !known {
				index = int64(len(load.Models))
				indexes[model] = index
				load.Models = append(load.Models, model)
			}
			load.Pending[id] = append(load.Pending[id], index, int64(p.Count), p.Work.Milliseconds())
		}
	}
	return load
}

// decodeLoad parses the output of encodeLoad. It ignores invalid entries.
func decodeLoad(load *feed.Load) route.EndpointBacklogs {
	pending := make(route.EndpointBacklogs, len(load.Pending))
	for id, numbers := range load.Pending {
		for ; len(numbers) >= 3; numbers = numbers[3:] {
			if index := numbers[0]; index >= 0 && index < int64(len(load.Models)) {
				pending.Add(id, load.Models[index], route.Backlog{
					Count: int(numbers[1]), Work: time.Duration(numbers[2]) * time.Millisecond,
				})
			}
		}
	}
	return pending
}
