package route

import (
	"math"
	"sync"
	"time"
)

const (
	factorGain            = 0.2                    // weight of a new observation in the correction factor
	factorFloor           = 1.0                    // smallest correction factor: endpoints in use must not be preferred over unused ones
	factorCeiling         = 16.0                   // largest correction factor
	factorHalfLife        = 10 * time.Second       // half-life of the factor's excess over 1 without new observations
	limitFloor            = 1.0                    // smallest limit
	limitDecrease         = 0.85                   // multiplicative decrease of the limit
	limitDecreaseInterval = 200 * time.Millisecond // between two decreases
	slowFactor            = 2.0                    // a latency over this multiple of the corrected one decreases the limit
	refusalBackoff        = 100 * time.Millisecond

	unreachableBackoff = 400 * time.Millisecond // after the first failed connection, doubled for each further one
	maxConnectFailures = 4                      // failed connections after which the backoff stays the same

	historySize        = 64          // changes of the number of attempts in flight that are kept
	serviceTimeWindow  = 64          // ended attempts over which the service time is averaged
	defaultServiceTime = time.Second // service time before any attempt has ended
)

// endpointLoad is one endpoint's entry in a LoadTracker.
type endpointLoad struct {
	lock            sync.Mutex
	running         int
	limit           float64 // 0 until the first decrease, for no limit
	factor          float64
	factorAt        time.Time // time of the last change of factor
	lastDecrease    time.Time // time of the last decrease of limit
	backoffUntil    time.Time
	history         [historySize]runningChange // ring buffer, the newest entry at newest
	newest          int
	lastChange      time.Time // time of the last change of running
	connectFailures int       // consecutive failed connections
	busySeconds     float64   // decayed sum of the seconds that attempts were in flight
	ended           float64   // decayed number of ended attempts
}

// runningChange is the number of attempts in flight from a time on.
type runningChange struct {
	at      time.Time
	running int
}

func newEndpointLoad() *endpointLoad {
	return &endpointLoad{factor: 1}
}

func (l *endpointLoad) start(now time.Time) {
	l.record(now, l.running+1)
}

// record sets the number of attempts in flight.
func (l *endpointLoad) record(now time.Time, running int) {
	if !l.lastChange.IsZero() && now.After(l.lastChange) {
		l.busySeconds += float64(l.running) * now.Sub(l.lastChange).Seconds()
	}
	l.lastChange = now
	l.running = running
	l.newest = (l.newest + 1) % historySize
	l.history[l.newest] = runningChange{at: now, running: running}
}

// runningAt returns the number of attempts in flight at an earlier time, or at
// the oldest change in the history.
func (l *endpointLoad) runningAt(at time.Time) int {
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

// serviceTime returns the mean time that an attempt stays in flight, by Little's
// law.
func (l *endpointLoad) serviceTime() time.Duration {
	return time.Duration((l.busySeconds + defaultServiceTime.Seconds()) / (l.ended + 1) * float64(time.Second))
}

// firstToken updates the correction factor and the limit by the latency of a
// first token.
func (l *endpointLoad) firstToken(now time.Time, expected, latency time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := clamp(float64(latency)/float64(expected), factorFloor, factorCeiling)
	l.factor = l.decayedFactor(now)*(1-factorGain) + ratio*factorGain
	l.factorAt = now
	if ratio > slowFactor*l.factor {
		l.decrease(now)
		return
	}
	l.increase()
}

// end records the end of an attempt, and decreases the limit or sets a backoff
// by its outcome.
func (l *endpointLoad) end(now time.Time, outcome Outcome) {
	l.record(now, max(0, l.running-1))
	l.ended++
	if l.ended > serviceTimeWindow {
		l.ended /= 2
		l.busySeconds /= 2
	}
	switch outcome {
	case OutcomeOverloaded:
		l.decrease(now)
		l.backoffUntil = now.Add(refusalBackoff)
	case OutcomeFailed:
		l.factor = math.Min(l.decayedFactor(now)*slowFactor, factorCeiling)
		l.factorAt = now
		l.decrease(now)
	case OutcomeUnreachable:
		l.connectFailures = min(l.connectFailures+1, maxConnectFailures)
		l.backoffUntil = now.Add(unreachableBackoff << (l.connectFailures - 1))
	case OutcomeDone:
		l.connectFailures = 0
	case OutcomeCancelled:
	}
}

// decrease lowers the limit, at most once in limitDecreaseInterval so that a
// burst of late answers counts once.
func (l *endpointLoad) decrease(now time.Time) {
	if now.Sub(l.lastDecrease) < limitDecreaseInterval {
		return
	}
	l.lastDecrease = now
	from := l.limit
	if from == 0 {
		from = float64(l.running + 1)
	}
	l.limit = math.Max(limitFloor, from*limitDecrease)
}

// increase raises the limit by one for each limit's worth of first tokens in
// time, while at least half of it is in use.
func (l *endpointLoad) increase() {
	if l.limit > 0 && float64(l.running) >= l.limit/2 {
		l.limit += 1 / l.limit
	}
}

// decayedFactor returns the correction factor, decayed towards 1 with the time
// since its last change, so that an endpoint that was slow is tried again.
func (l *endpointLoad) decayedFactor(now time.Time) float64 {
	age := now.Sub(l.factorAt)
	if l.factor == 1 || age <= 0 {
		return l.factor
	}
	return 1 + (l.factor-1)*math.Exp2(-age.Seconds()/factorHalfLife.Seconds())
}

func clamp(x, low, high float64) float64 {
	return math.Min(math.Max(x, low), high)
}
