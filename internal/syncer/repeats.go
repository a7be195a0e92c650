package syncer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/retry"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// RepeatHooks connect the exchange of what routers use of the allowance of repeats to the
// router's budgets.
type RepeatHooks struct {
	Limits retry.FleetLimits
	// Uses returns what this router tells of its budgets.
	Uses func(now time.Time) map[ident.ServiceID]retry.Use
	// Apply is called with the debts of all routers, each time they are heard.
	Apply func(now time.Time, debts map[ident.ServiceID]retry.Pool)
	// Lost is called when the parent is lost. Debts are unknown until they are heard again.
	Lost func(now time.Time)
}

// repeatAggregator collects what routers use of the allowance of repeats. Each router tells
// its parent what it uses, and what its followers told; the root sums the debts and tells
// all. Uses are told by process and not as sums, so that a router that changes its parent
// does not count twice, and one that has ended still counts. If the root ends too, the others
// tell what it told, and what they had used.
type repeatAggregator struct {
	lock    sync.Mutex
	process retry.Process
	hooks   RepeatHooks
	ledger  *retry.Ledger
	last    map[ident.ServiceID]retry.Use // of this router, as last told
	debts   fleetDebts                    // as last heard
	own     map[ident.ServiceID]retry.Use // as last told when debts were heard
	heard   time.Time                     // when debts were heard

	rootSince time.Time // since when this router is the root, zero if it is not
}

// fleetDebts is what the root tells of the repeats of all routers.
type fleetDebts struct {
	pools  map[ident.ServiceID]retry.Pool
	totals map[ident.ServiceID]retry.Use
}

func newRepeatAggregator(p retry.Process) *repeatAggregator {
	return &repeatAggregator{process: p, ledger: retry.NewLedger(retry.FleetLimits{})}
}

// SetRepeatHooks sets the budgets whose use is exchanged with other routers.
func (c *Controller) SetRepeatHooks(h RepeatHooks) {
	r := c.repeats
	r.lock.Lock()
	defer r.lock.Unlock()
	r.hooks, r.ledger = h, retry.NewLedger(h.Limits)
}

// setRoot records whether this router is the root.
func (r *repeatAggregator) setRoot(now time.Time, isRoot bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case !isRoot:
		r.rootSince = time.Time{}
	case r.rootSince.IsZero():
		r.rootSince = now
	}
}

// receive records what a follower told. Invalid entries are ignored.
func (r *repeatAggregator) receive(now time.Time, load *feed.Load) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, u := range load.Uses {
		p := retry.Process{Router: u.Router, Started: u.Started}
		if p.Router == "" || p == r.process || u.Age < 0 {
			continue
		}
		for service, n := range u.Services {
			if !areCounts(n, 3) {
				continue
			}
			use := retry.Use{Requests: n[0], Repeats: n[1], Gain: n[2]}
			r.ledger.Record(retry.ServiceUse{Process: p, Service: service, Use: use}, now.Add(-u.Age))
		}
	}
	for _, x := range load.Losses {
		at := now.Add(-x.Age)
		if x.Router == "" || x.Router == r.process.Router || x.Age < 0 || !r.rootSince.IsZero() && at.After(r.rootSince) {
			continue // if this router told the total, it has not ended, and knows who has
		}
		for service, n := range x.Services {
			if !areCounts(n, 4) {
				continue
			}
			loss := retry.Loss{Total: retry.Use{Requests: n[0], Repeats: n[1]}, Own: retry.Use{Requests: n[2], Repeats: n[3]}}
			r.ledger.RecordLoss(x.Router, service, loss, at)
		}
	}
}

// areCounts reports whether n begins with so many numbers that count something.
func areCounts(n []float64, count int) bool {
	return len(n) >= count && slices.Min(n[:count]) >= 0
}

// recordLocal records what this router uses. The caller must hold r.lock.
func (r *repeatAggregator) recordLocal(now time.Time) {
	if r.hooks.Uses == nil {
		return
	}
	r.last = r.hooks.Uses(now)
	for service, u := range r.last {
		r.ledger.Record(retry.ServiceUse{Process: r.process, Service: service, Use: u}, now)
	}
}

// subtree returns what this router uses, and what its followers told, for the parent.
func (r *repeatAggregator) subtree(now time.Time) []feed.RepeatUse {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.recordLocal(now)
	type group struct {
		process retry.Process
		at      time.Time
	}
	groups := map[group]int{} // index in out
	var out []feed.RepeatUse
	r.ledger.Each(now, func(u retry.ServiceUse, at time.Time) {
		key := group{u.Process, at}
		i, known := groups[key]
		if !known {
			i = len(out)
			groups[key] = i
			out = append(out, feed.RepeatUse{Router: u.Router, Started: u.Started, Age: now.Sub(at), Services: map[ident.ServiceID][]float64{}})
		}
		out[i].Services[u.Service] = []float64{u.Requests, u.Repeats, roundTenth(u.Gain)}
	})
	return out
}

// losses returns what this router, and those that told it, knew when they lost their parent.
func (r *repeatAggregator) losses(now time.Time) []feed.RepeatLoss {
	r.lock.Lock()
	defer r.lock.Unlock()
	type group struct {
		router ident.RouterID
		at     time.Time
	}
	groups := map[group]int{} // index in out
	var out []feed.RepeatLoss
	r.ledger.EachLoss(now, func(router ident.RouterID, service ident.ServiceID, x retry.Loss, at time.Time) {
		key := group{router, at}
		i, known := groups[key]
		if !known {
			i = len(out)
			groups[key] = i
			out = append(out, feed.RepeatLoss{Router: router, Age: now.Sub(at), Services: map[ident.ServiceID][]float64{}})
		}
		out[i].Services[service] = []float64{x.Total.Requests, x.Total.Repeats, x.Own.Requests, x.Own.Repeats}
	})
	return out
}

// sum sums the debts of all routers at the root, and applies them there.
func (r *repeatAggregator) sum(now time.Time, routers int) {
	r.lock.Lock()
	r.recordLocal(now)
	d := fleetDebts{pools: r.ledger.Pools(now, routers), totals: r.ledger.Totals(now)}
	r.lock.Unlock()
	r.setDebts(now, d)
}

// setDebts records and applies the debts of all routers.
func (r *repeatAggregator) setDebts(now time.Time, d fleetDebts) {
	r.lock.Lock()
	r.debts, r.own, r.heard = d, r.last, now
	apply := r.hooks.Apply
	r.lock.Unlock()
	if apply != nil {
		apply(now, d.pools)
	}
}

// loseParent records that the parent is lost, and what was known then.
func (r *repeatAggregator) loseParent(now time.Time) {
	r.lock.Lock()
	for service, total := range r.debts.totals {
		r.ledger.RecordLoss(r.process.Router, service, retry.Loss{Total: total, Own: r.own[service]}, r.heard)
	}
	lost := r.hooks.Lost
	r.lock.Unlock()
	if lost != nil {
		lost(now)
	}
}

// getDebts returns the debts of all routers as last heard. They count until the window in
// which they arose has passed.
func (r *repeatAggregator) getDebts(now time.Time) fleetDebts {
	r.lock.Lock()
	defer r.lock.Unlock()
	if now.Sub(r.heard) >= r.hooks.Limits.Window {
		return fleetDebts{}
	}
	return r.debts
}

// debtsToFollowers returns the debts of all routers in wire form.
func (c *Controller) debtsToFollowers(now time.Time) map[ident.ServiceID][]float64 {
	if c.isRoot.Load() || c.loads.inCycle(now) {
		c.repeats.sum(now, c.RouterCount())
	}
	return encodeDebts(c.repeats.getDebts(now))
}

func encodeDebts(d fleetDebts) map[ident.ServiceID][]float64 {
	if len(d.totals) == 0 {
		return nil
	}
	out := make(map[ident.ServiceID][]float64, len(d.totals))
	for service, u := range d.totals {
		p := d.pools[service]
		out[service] = []float64{roundTenth(p.Debt), roundTenth(p.Gain), math.Round(u.Requests), math.Round(u.Repeats)}
	}
	return out
}

// decodeDebts parses the output of encodeDebts. It ignores invalid entries.
func decodeDebts(debts map[ident.ServiceID][]float64) fleetDebts {
	d := fleetDebts{pools: map[ident.ServiceID]retry.Pool{}, totals: map[ident.ServiceID]retry.Use{}}
	for service, n := range debts {
		if !areCounts(n, 4) {
			continue
		}
		if n[0] > 0 {
			d.pools[service] = retry.Pool{Debt: n[0], Gain: n[1]}
		}
		d.totals[service] = retry.Use{Requests: n[2], Repeats: n[3]}
	}
	return d
}

// roundTenth drops digits that would only take room in the frame.
func roundTenth(x float64) float64 { return math.Round(x*10) / 10 }
