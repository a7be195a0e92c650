package retry

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// This file decides which part of its allowance a router leaves unused for what other
// routers have used beyond theirs. The load that it addresses: routers use up the allowance
// of a window while endpoints fail, then their demand moves to other routers, or they end.
// Their requests leave their windows and enter those of the others, which would use the
// share of the same requests again.

const (
	// silentAfter is the age from which a report is taken for the last one of a router that
	// has ended. It is the time after which a silent feed is given up.
	silentAfter = time.Second
	// coveredShareFraction is the fraction of FleetLimits.Share that may cover debts, half of
	// what settled routers leave of it. So do the parts of Extra that they leave: while each
	// router has few requests, there are always small debts.
	coveredShareFraction = (1 - fleetShareFraction) / 2
	// maxReports bounds the reports that are held: 256 routers of 64 services.
	maxReports = 1 << 14
)

// Use is what a router has used of the allowance of a service in its trailing window.
type Use struct {
	Requests float64 // first attempts
	Repeats  float64 // attempts beyond the first
	// Gain is the allowance that it has not used and would not have if it had only the
	// requests of the least of the windows that ended within the last one.
	Gain float64
}

// Process identifies one run of a router.
type Process struct {
	Router  ident.RouterID
	Started int64 // in milliseconds of the router's clock
}

// ServiceUse is the use of a service by a process of a router.
type ServiceUse struct {
	Process
	Service ident.ServiceID
	Use
}

// Pool sums, over all routers, what the use of a service calls for.
type Pool struct {
	Debt float64 // repeats beyond the allowance of the routers that have sent them
	Gain float64 // sum of Use.Gain
}

// Fraction returns the fraction of its gain that each router leaves unused.
func (p Pool) Fraction() float64 {
	switch {
	case p.Debt <= 0:
		return 0
	case p.Debt >= p.Gain:
		return 1
	}
	return p.Debt / p.Gain
}

// Ledger holds the latest reports of routers on their use. It is not safe for concurrent
// use.
type Ledger struct {
	limits  FleetLimits
	reports map[reportKey]report
	losses  map[routerKey]lossReport
}

// Loss tells of a service what a router knew when it lost the root of the feeds, which held
// the reports of routers that had ended.
type Loss struct {
	Total Use // of all routers, as the root told
	Own   Use // of the router at that time
}

type routerKey struct {
	router  ident.RouterID
	service ident.ServiceID
}

type lossReport struct {
	loss Loss
	at   time.Time // when the root told of Total
}

type reportKey struct {
	Process
	service ident.ServiceID
}

type report struct {
	use Use
	at  time.Time
}

// NewLedger returns a ledger without reports.
func NewLedger(l FleetLimits) *Ledger {
	return &Ledger{limits: l, reports: map[reportKey]report{}, losses: map[routerKey]lossReport{}}
}

// Record records the use that a router told of at a time. An older report than the one
// that is held is ignored: it came on a longer way.
func (l *Ledger) Record(u ServiceUse, at time.Time) {
	key := reportKey{u.Process, u.Service}
	old, known := l.reports[key]
	if known && !at.After(old.at) || !known && len(l.reports) >= maxReports {
		return
	}
	l.reports[key] = report{use: u.Use, at: at}
}

// Each calls visit for each report of the last window. Older ones are dropped: what they
// tell of has left the window.
func (l *Ledger) Each(now time.Time, visit func(u ServiceUse, at time.Time)) {
	for key, r := range l.reports {
		if now.Sub(r.at) >= l.limits.Window {
			delete(l.reports, key)
			continue
		}
		visit(ServiceUse{Process: key.Process, Service: key.service, Use: r.use}, r.at)
	}
}

// RecordLoss records what a router knew when it lost the root, of a time.
func (l *Ledger) RecordLoss(router ident.RouterID, service ident.ServiceID, loss Loss, at time.Time) {
	key := routerKey{router, service}
	old, known := l.losses[key]
	if known && !at.After(old.at) || !known && len(l.losses) >= maxReports {
		return
	}
	l.losses[key] = lossReport{loss: loss, at: at}
}

// EachLoss calls visit for each loss of the last window, and drops older ones.
func (l *Ledger) EachLoss(now time.Time, visit func(router ident.RouterID, service ident.ServiceID, loss Loss, at time.Time)) {
	for key, r := range l.losses {
		if now.Sub(r.at) >= l.limits.Window {
			delete(l.losses, key)
			continue
		}
		visit(key.router, key.service, r.loss, r.at)
	}
}

// addEnded adds to uses, for no router, what those routers have used that ended with a
// root or before it: the total that it told, less what its other followers had used. One
// that has lost no root counts with what it uses now.
func (l *Ledger) addEnded(now time.Time, uses map[routerKey]Use) {
	type ended struct {
		Loss
		at time.Time
	}
	sums := map[ident.ServiceID]ended{}
	l.EachLoss(now, func(_ ident.RouterID, service ident.ServiceID, x Loss, at time.Time) {
		sum := sums[service]
		if x.Total.Repeats > sum.Total.Repeats {
			sum.Total, sum.at = x.Total, at
		}
		sum.Own.Requests += x.Own.Requests
		sum.Own.Repeats += x.Own.Repeats
		sums[service] = sum
	})
	l.Each(now, func(u ServiceUse, at time.Time) {
		sum, lost := sums[u.Service]
		if _, told := l.losses[routerKey{u.Router, u.Service}]; lost && !told && now.Sub(at) <= silentAfter {
			sum.Own.Requests += u.Requests
			sum.Own.Repeats += u.Repeats
			sums[u.Service] = sum
		}
	})
	for service, sum := range sums {
		u := Use{Requests: max(0, sum.Total.Requests-sum.Own.Requests), Repeats: max(0, sum.Total.Repeats-sum.Own.Repeats)}
		uses[routerKey{"", service}] = l.after(u, now.Sub(sum.at))
	}
}

// after returns what remains of the use of a router that has ended: its requests leave the
// window evenly, its repeats count until the window has passed.
func (l *Ledger) after(u Use, age time.Duration) Use {
	return Use{Requests: u.Requests * (1 - float64(age)/float64(l.limits.Window)), Repeats: u.Repeats}
}

// uses returns the use of each router. The processes of one router count together.
func (l *Ledger) uses(now time.Time) map[routerKey]Use {
	uses := map[routerKey]Use{}
	l.addEnded(now, uses)
	l.Each(now, func(u ServiceUse, at time.Time) {
		if age := now.Sub(at); age > silentAfter {
			u.Use = l.after(u.Use, age)
		}
		key := routerKey{u.Router, u.Service}
		sum := uses[key]
		uses[key] = Use{Requests: sum.Requests + u.Requests, Repeats: sum.Repeats + u.Repeats, Gain: sum.Gain + u.Gain}
	})
	return uses
}

// Totals returns the use of each service by all routers.
func (l *Ledger) Totals(now time.Time) map[ident.ServiceID]Use {
	totals := map[ident.ServiceID]Use{}
	for key, u := range l.uses(now) {
		sum := totals[key.service]
		totals[key.service] = Use{Requests: sum.Requests + u.Requests, Repeats: sum.Repeats + u.Repeats, Gain: sum.Gain + u.Gain}
	}
	return totals
}

// Pools returns the pool of each service in which routers have used more than they are
// allowed. Count is the number of routers.
func (l *Ledger) Pools(now time.Time, count int) map[ident.ServiceID]Pool {
	uses := l.uses(now)
	pools, requests := map[ident.ServiceID]Pool{}, map[ident.ServiceID]float64{}
	for key, u := range uses {
		p := pools[key.service]
		p.Gain += u.Gain
		p.Debt += max(0, u.Repeats-float64(l.limits.Share)*fleetShareFraction*u.Requests-l.limits.ExtraOf(count))
		pools[key.service] = p
		requests[key.service] += u.Requests
	}
	for service, p := range pools {
		p.Debt -= l.limits.Extra*(1-fleetExtraFraction) + float64(l.limits.Share)*coveredShareFraction*requests[service]
		if p.Debt <= 0 {
			delete(pools, service)
			continue
		}
		pools[service] = p
	}
	return pools
}
