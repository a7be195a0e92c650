package route

import (
	"math"
	"sync"
	"time"
)

const (
	factorGain    = 0.2              // weight of a new observation in the correction factor
	factorFloor   = 1.0              // smallest correction factor: what is used is not preferred to what is not
	factorCeiling = 16.0             // largest correction factor
	factorHalf    = 10 * time.Second // half-life of a correction without new observations
	limitFloor    = 1.0              // attempts that may always be in flight
	limitCut      = 0.85             // multiplicative decrease
	limitPause    = 200 * time.Millisecond
	slowFactor    = 2.0 // a first token later than this multiple of the expected one cuts the limit
	refusalPause  = 100 * time.Millisecond

	absentPause = 400 * time.Millisecond // before the next connection to an address where nothing listens, doubled each time
	maxMisses   = 4                      // doublings of absentPause, and one

	historySize    = 64          // changes of the attempts in flight that are remembered
	serviceWindow  = 64          // ended attempts over which the service time is averaged
	assumedService = time.Second // service time before any attempt has ended
)

// load is one endpoint's entry in a Table.
type load struct {
	lock     sync.Mutex
	running  int
	limit    float64 // 0 until the first sign of congestion
	factor   float64
	observed time.Time // of factor
	cut      time.Time // last decrease of limit
	backoff  time.Time
	history  [historySize]change // a ring, the newest at newest
	newest   int
	changed  time.Time // when running last changed
	misses   int       // connections that failed in a row
	area     float64   // decayed seconds of attempts in flight
	ended    float64   // decayed count of attempts ended
}

// change is the number of attempts in flight from a time on.
type change struct {
	at      time.Time
	running int
}

func newLoad() *load {
	return &load{factor: 1}
}

func (l *load) start(now time.Time) {
	l.record(now, l.running+1)
}

// record changes the number of attempts in flight.
func (l *load) record(now time.Time, running int) {
	if !l.changed.IsZero() && now.After(l.changed) {
		l.area += float64(l.running) * now.Sub(l.changed).Seconds()
	}
	l.changed = now
	l.running = running
	l.newest = (l.newest + 1) % historySize
	l.history[l.newest] = change{at: now, running: running}
}

// before gives the attempts in flight at an earlier time, or at the oldest
// change that is remembered.
func (l *load) before(at time.Time) int {
	running := l.running
	for i := range historySize {
		c := l.history[(l.newest+historySize-i)%historySize]
		if c.at.IsZero() {
			return 0
		}
		running = c.running
		if !c.at.After(at) {
			break
		}
	}
	return running
}

// service is the mean time that an attempt stays in flight, by Little's law.
func (l *load) service() time.Duration {
	return time.Duration((l.area + assumedService.Seconds()) / (l.ended + 1) * float64(time.Second))
}

func (l *load) first(now time.Time, expected, latency time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := clamp(float64(latency)/float64(expected), factorFloor, factorCeiling)
	l.factor = l.correction(now)*(1-factorGain) + ratio*factorGain
	l.observed = now
	if ratio > slowFactor*l.factor {
		l.decrease(now)
		return
	}
	l.increase()
}

func (l *load) end(now time.Time, outcome Outcome) {
	l.record(now, max(0, l.running-1))
	l.ended++
	if l.ended > serviceWindow {
		l.ended /= 2
		l.area /= 2
	}
	switch outcome {
	case OutcomeOverloaded:
		l.decrease(now)
		l.backoff = now.Add(refusalPause)
	case OutcomeFailed:
		l.factor = math.Min(l.correction(now)*slowFactor, factorCeiling)
		l.observed = now
		l.decrease(now)
	case OutcomeUnreachable:
		l.misses = min(l.misses+1, maxMisses)
		l.backoff = now.Add(absentPause << (l.misses - 1))
	case OutcomeDone:
		l.misses = 0
	case OutcomeCancelled:
	}
}

// decrease cuts the limit, at most once in a pause so that one burst of late
// answers counts once.
func (l *load) decrease(now time.Time) {
	if now.Sub(l.cut) < limitPause {
		return
	}
	l.cut = now
	from := l.limit
	if from == 0 {
		from = float64(l.running + 1)
	}
	l.limit = math.Max(limitFloor, from*limitCut)
}

// increase raises a limit that is in use by one for each limit's worth of
// first tokens in time.
func (l *load) increase() {
	if l.limit > 0 && float64(l.running) >= l.limit/2 {
		l.limit += 1 / l.limit
	}
}

// correction is the factor, decayed towards 1 with the time since it was last
// observed, so that an endpoint that was slow is tried again.
func (l *load) correction(now time.Time) float64 {
	age := now.Sub(l.observed)
	if l.factor == 1 || age <= 0 {
		return l.factor
	}
	return 1 + (l.factor-1)*math.Exp2(-age.Seconds()/factorHalf.Seconds())
}

func clamp(x, low, high float64) float64 {
	return math.Min(math.Max(x, low), high)
}
